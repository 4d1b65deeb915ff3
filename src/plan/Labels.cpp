#include "plan/Labels.h"

namespace bulrushgap {

bool Labels::isWord(std::string_view text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "0123456789._-/";
    return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos;
}

} // namespace bulrushgap

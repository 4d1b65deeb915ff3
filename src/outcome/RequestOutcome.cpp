#include "outcome/RequestOutcome.h"

#include <array>
#include <cstddef>

namespace bulrushgap::balance {

std::string_view toString(RequestOutcome outcome)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(RequestOutcome::Count)>
        names{"answered", "late", "short", "unanswered"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace bulrushgap::balance

#include "platform/ObjectCodec.h"

#include <boost/json/parse.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace bulrushgap;

/** \brief Answers of the store: the first byte selects the kind, the rest is the body. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const auto kind = static_cast<balance::ViewKind>(data[0] % balance::viewKindCount);
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    boost::system::error_code error;
    const boost::json::value body = boost::json::parse(text, error);
    if (error || !body.is_object())
        return 0;
    balance::ViewList list;
    static_cast<void>(platform::decodeListPage(kind, *body.if_object(), list));
    static_cast<void>(platform::decodeEvents(kind, *body.if_object(), 1));
    return 0;
}

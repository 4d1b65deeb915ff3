#include "platform/ObjectCodec.h"
#include "store/TolerantParse.h"
#include "view/ViewCodec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace bulrushgap;

namespace {

/** \brief Ends the program unless other instances can read the objects. */
void passOn(balance::ViewKind kind, const balance::ViewList &list,
            const balance::ViewEvents &events)
{
    if (!balance::decodeList(kind, balance::encodeList(kind, list)))
        std::abort();
    if (!balance::decodeEvents(kind, balance::encodeEvents(kind, events)))
        std::abort();
}

} // namespace

/** \brief Answers of the store: the first byte selects the kind, the rest is the body. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const auto kind = static_cast<balance::ViewKind>(data[0] % balance::viewKindCount);
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    const auto body = parseTolerantly(text);
    if (!body)
        return 0;
    balance::ViewList list;
    static_cast<void>(platform::decodeListPage(kind, *body, list));
    passOn(kind, list, platform::decodeEvents(kind, *body, 1));
    return 0;
}

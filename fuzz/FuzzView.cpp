#include "ejection/OutcomeCodec.h"
#include "view/ViewCodec.h"

#include <cstddef>
#include <cstdint>
#include <span>

using namespace bulrushgap;

/** \brief Messages of other instances: the first byte selects the kind, the rest is the message. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const auto kind = static_cast<balance::ViewKind>(data[0] % balance::viewKindCount);
    const Bytes message = [&] {
        const auto bytes = std::as_bytes(std::span(data, size)).subspan(1);
        return Bytes(bytes.begin(), bytes.end());
    }();
    static_cast<void>(balance::decodeRequest(message));
    if (const auto request = balance::decodeOutcomeRequest(message))
        static_cast<void>(balance::encodeOutcomeRequest(*request));
    if (const auto reports = balance::decodeOutcomeReply(message))
        static_cast<void>(balance::encodeOutcomeReply(*reports));
    if (const auto list = balance::decodeList(kind, message))
        static_cast<void>(balance::encodeList(kind, *list));
    if (const auto events = balance::decodeEvents(kind, message))
        static_cast<void>(balance::encodeEvents(kind, *events));
    return 0;
}

#include "platform/ObjectCodec.h"
#include "store/TolerantParse.h"
#include "view/ViewCodec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

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

/** \returns a usable spec of the kind, without its closing bracket. */
std::string openSpec(balance::ViewKind kind)
{
    switch (kind) {
    case balance::ViewKind::Upstreams:
        return R"({"service":"s1","addr":"10.1.0.9:8080","zone":"yala","version":"v1","slots":2,)"
               R"("state":"ready","slow_start_ms":0,"seq":4,"born":1)";
    case balance::ViewKind::Members:
        return R"({"domain":"yala","peer":"10.0.0.1:7720","capacity":200)";
    case balance::ViewKind::Configurations:
        return R"({"version":7,"routes":[],"services":[])";
    case balance::ViewKind::Evacuations:
        break;
    }
    return R"({"by":"operator")";
}

std::string objectOf(balance::ViewKind kind, std::string_view name, const std::string &spec)
{
    const bool isSingle = kind == balance::ViewKind::Configurations;
    return R"({"meta":{"name":")" + std::string(isSingle ? "main" : name)
           + R"(","revision":5},"spec":)" + spec + "}";
}

/** \returns whether the text is a single JSON value for the splitter, readable or not. */
bool isSingleValue(std::string_view text)
{
    const std::string key = "single value";
    if (text.find(key) != std::string_view::npos)
        return false;
    const auto body = parseTolerantly("{\"" + key + "\":[" + std::string(text) + "]}");
    if (!body || body->size() != (body->contains(unreadableMember) ? 2U : 1U))
        return false;
    const auto *value = body->if_contains(key);
    return value != nullptr && value->is_array() && value->get_array().size() == 1;
}

template <typename Objects>
void requireGood(balance::ViewKind kind, const Objects &objects)
{
    const bool isSingle = kind == balance::ViewKind::Configurations;
    if (objects.size() < 2)
        std::abort();
    if (objects.front().key != (isSingle ? "main" : "i-a")
        || objects.back().key != (isSingle ? "main" : "i-c"))
        std::abort();
    for (const auto *object : {&objects.front(), &objects.back()}) {
        const std::optional<balance::ViewObject> value = object->value;
        if (!value || std::holds_alternative<balance::MalformedObject>(*value))
            std::abort();
    }
}

/** \brief Ends the program unless the good objects beside \a odd remain usable. */
void mixIn(balance::ViewKind kind, const std::string &odd)
{
    const std::string spec = openSpec(kind) + "}";
    const std::string before = objectOf(kind, "i-a", spec);
    const std::string after = objectOf(kind, "i-c", spec);
    const auto page = parseTolerantly(R"({"items":[)" + before + "," + odd + "," + after
                                      + R"(],"has_more":false,"as_of":9})");
    const std::string event = R"({"removed":false,"object":)";
    const auto body = parseTolerantly(R"({"events":[)" + event + before + "}," + event + odd + "},"
                                      + event + after + R"(}],"as_of":9})");
    if (!page || !body)
        std::abort();
    balance::ViewList list;
    list.result = PlatformResult::Ok;
    const auto next = platform::decodeListPage(kind, *page, list);
    const auto events = platform::decodeEvents(kind, *body, 1);
    if (next || list.result != PlatformResult::Ok || events.result != PlatformResult::Ok
        || list.revision != 9 || events.revision != 9)
        std::abort();
    requireGood(kind, list.objects);
    requireGood(kind, events.events);
    passOn(kind, list, events);
}

} // namespace

/** \brief Answers of the store: the first byte selects the kind, the rest is the body. A rest that
 * is a single value is also mixed into good objects, as one of them and as part of a spec. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const auto kind = static_cast<balance::ViewKind>(data[0] % balance::viewKindCount);
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    if (isSingleValue(text)) {
        mixIn(kind, std::string(text));
        mixIn(kind, objectOf(kind, "i-b", openSpec(kind) + ",\"x\":" + std::string(text) + "}"));
    }
    const auto body = parseTolerantly(text);
    if (!body)
        return 0;
    balance::ViewList list;
    static_cast<void>(platform::decodeListPage(kind, *body, list));
    passOn(kind, list, platform::decodeEvents(kind, *body, 1));
    return 0;
}

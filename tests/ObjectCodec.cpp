#include "platform/ObjectCodec.h"

#include "store/TolerantParse.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace bulrushgap;
using namespace bulrushgap::platform;

namespace {

const std::string goodUpstream
    = R"({"service":"s1","addr":"10.1.0.9:8080","zone":"yala","version":"v1","slots":2,)"
      R"("state":"ready","slow_start_ms":1500,"seq":4,"born":1700000000123,"new":{"x":1}})";

const std::string goodRoute
    = R"({"name":"r1","hostname":"198.18.0.1","path_prefix":"/8443/","route_type":"safe",)"
      R"("timeout_ms":800,"target_latency_ms":120,"priority":2,"service":"s1"})";

/** \returns the member that \a decode rejects, or "" if it succeeds. */
template <typename Decode>
std::string faultyMember(Decode decode)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(decode());
            return std::string();
        },
        [](const ObjectFormatError &error) { return error.member; },
        [] { return std::string("unexpected error"); });
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

std::string configurationWith(const std::string &routes, const std::string &services)
{
    return R"({"version":7,"routes":)" + routes + R"(,"services":)" + services
           + R"(,"limits":{"idle_timeout_ms":15000}})";
}

} // namespace

// Guards against values decoded into the wrong field or unit.
TEST_CASE("an upstream's entry is decoded", "[ObjectCodec]")
{
    const auto entry = decodeUpstream("i-7f3a91c2aa", boost::json::parse(goodUpstream));
    REQUIRE(entry);
    CHECK(entry->name == "i-7f3a91c2aa");
    CHECK(entry->wireId == 0x7f3a91c2aaULL);
    CHECK(entry->address.toString() == "10.1.0.9:8080");
    CHECK(entry->service == "s1");
    CHECK(entry->domain == "yala");
    CHECK(entry->state == balance::UpstreamState::Ready);
    CHECK(entry->slots == 2);
    CHECK(entry->slowStart == std::chrono::milliseconds(1500));
    CHECK(entry->startedAtMs == 1700000000123);
}

// Guards against malformed entries that crash an instance or receive flows.
TEST_CASE("an upstream's entry that can't be used names its faulty member", "[ObjectCodec]")
{
    struct Case
    {
        std::string name;
        std::string from;
        std::string to;
        std::string member;
    };
    const auto test = GENERATE(values<Case>({
        {"i-7f", R"("service":"s1",)", "", "service"},
        {"i-7f", R"("service":"s1")", R"("service":7)", "service"},
        {"i-7f", R"("10.1.0.9:8080")", R"("host:8080")", "addr"},
        {"i-7f", R"("10.1.0.9:8080")", R"("10.1.0.9")", "addr"},
        {"i-7f", R"("10.1.0.9:8080")", R"("10.1.0.9:99999")", "addr"},
        {"i-7f", R"("zone":"yala")", R"("zone":["yala"])", "zone"},
        {"i-7f", R"("ready")", R"("asleep")", "state"},
        {"i-7f", R"("slots":2)", R"("slots":"two")", "slots"},
        {"i-7f", R"("slots":2)", R"("slots":-1)", "slots"},
        {"i-7f", R"("slots":2)", R"("slots":1e300)", "slots"},
        {"i-7f", R"("slow_start_ms":1500)", R"("slow_start_ms":[])", "slow_start_ms"},
        {"i-7f", R"("born":1700000000123)", R"("born":"now")", "born"},
        {"i-", R"("x":1)", R"("x":1)", "name"},
        {"i-xyz", R"("x":1)", R"("x":1)", "name"},
        {"i-11223344556677889", R"("x":1)", R"("x":1)", "name"},
    }));
    const auto spec = boost::json::parse(replaced(goodUpstream, test.from, test.to));
    CHECK(faultyMember([&] { return decodeUpstream(test.name, spec); }) == test.member);
}

// Guards against specs that are not JSON objects.
TEST_CASE("an entry that is no object is refused", "[ObjectCodec]")
{
    const auto text = GENERATE(as<std::string>(), "null", "[]", "3", R"("x")", "true");
    const auto spec = boost::json::parse(text);
    CHECK(faultyMember([&] { return decodeUpstream("i-7f", spec); }) == "spec");
    CHECK(faultyMember([&] { return decodeConfiguration(spec); }) == "spec");
    CHECK(faultyMember([&] { return decodeMember("a", spec); }) == "spec");
}

// Guards against routes that differ from the configuration of the operators.
TEST_CASE("a configuration is decoded", "[ObjectCodec]")
{
    const std::string split
        = R"({"name":"r2","hostname":"198.18.0.2","path_prefix":"/80/","route_type":"unsafe",)"
          R"("traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]})";
    const std::string services
        = R"([{"name":"s1","slow_start_s":2.5,"cold_per_s":8,"max_connections":2000}])";
    const auto configuration = decodeConfiguration(
        boost::json::parse(configurationWith("[" + goodRoute + "," + split + "]", services)));
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    CHECK(configuration->idleTimeout == std::chrono::seconds(15));
    REQUIRE(configuration->routes.size() == 2);
    CHECK(configuration->routes[0].address.toString() == "198.18.0.1:8443");
    CHECK(configuration->routes[0].kind == balance::RequestKind::Idempotent);
    CHECK(configuration->routes[1].kind == balance::RequestKind::RunAtMostOnce);
    CHECK(configuration->routes[0].timeout == std::chrono::milliseconds(800));
    CHECK(configuration->routes[0].objective == std::chrono::milliseconds(120));
    CHECK(configuration->routes[0].priority == 2);
    CHECK(configuration->routes[1].timeout == Duration::zero());
    CHECK(configuration->routes[1].objective == Duration::zero());
    CHECK(configuration->routes[1].priority == 0);
    REQUIRE(configuration->routes[1].services.size() == 2);
    CHECK(configuration->routes[1].services[1].weight == 10);
    REQUIRE(configuration->services.size() == 1);
    CHECK(configuration->services[0].slowStart == std::chrono::milliseconds(2'500));
    CHECK(configuration->services[0].coldRequestsPerSecond == 8.0);
}

// Guards against a partly decoded configuration that replaces a valid one.
TEST_CASE("a configuration with a fault is refused as a whole", "[ObjectCodec]")
{
    struct Case
    {
        std::string from;
        std::string to;
        std::string member;
    };
    const auto test = GENERATE(values<Case>({
        {R"("version":7)", R"("version":"7")", "version"},
        {R"("/8443/")", R"("8443")", "path_prefix"},
        {R"("198.18.0.1")", R"("example")", "hostname"},
        {R"("service":"s1")", R"("service":null)", "service"},
        {R"("route_type":"safe",)", "", "route_type"},
        {R"("routes":[)", R"("routes":[3,)", "routes"},
    }));
    const std::string text = configurationWith("[" + goodRoute + "]", "[]");
    const auto spec = boost::json::parse(replaced(text, test.from, test.to));
    CHECK(faultyMember([&] { return decodeConfiguration(spec); }) == test.member);
}

// Guards against entries that other instances cannot decode.
TEST_CASE("an instance's entry survives encoding", "[ObjectCodec]")
{
    const balance::Member member{"a-1", "yala", *Endpoint::parse("10.0.0.1:7720"), 200};
    const auto decoded = decodeMember("a-1", encodeMember(member));
    REQUIRE(decoded);
    CHECK(*decoded == member);
}

// Guards against the answer to another call that passes for an empty list: all upstreams would be
// dropped.
TEST_CASE("an answer without the fields of its call is not usable", "[ObjectCodec]")
{
    struct Case
    {
        std::string body;
        PlatformResult list;
        PlatformResult events;
    };
    const auto ok = PlatformResult::Ok;
    const auto unavailable = PlatformResult::Unavailable;
    const auto each = GENERATE_COPY(values<Case>({
        {R"({"items":[],"has_more":false,"as_of":7})", ok, unavailable},
        {R"({"events":[],"as_of":7})", unavailable, ok},
        {R"({"events":[],"as_of":4})", unavailable, unavailable},
        {R"({"items":[],"has_more":false})", unavailable, unavailable},
        {R"({"meta":{"name":"i-1","revision":7},"spec":{}})", unavailable, unavailable},
        {R"({})", unavailable, unavailable},
    }));
    constexpr std::uint64_t since = 5;
    const boost::json::value body = boost::json::parse(each.body);
    balance::ViewList list;
    list.result = PlatformResult::Ok;
    CHECK_FALSE(decodeListPage(balance::ViewKind::Upstreams, body.as_object(), list));
    CHECK(list.result == each.list);
    CHECK(decodeEvents(balance::ViewKind::Upstreams, body.as_object(), since).result
          == each.events);
}

namespace {

/** \brief Name and revision that can be read of a malformed object. */
struct Expected
{
    std::string key;
    std::uint64_t version;
};

bool isMalformed(const balance::ViewObject &object)
{
    return std::holds_alternative<balance::MalformedObject>(object);
}

} // namespace

// Guards against an entry that can't be identified and takes the others with it.
TEST_CASE("unreadable parts of an entry leave its name and revision", "[ObjectCodec]")
{
    const std::string nested = std::string(40, '[') + std::string(40, ']');
    struct Case
    {
        std::string object;
        Expected expected;
    };
    const auto each = GENERATE_COPY(values<Case>({
        {R"({"meta":{"name":"b","revision":5},"spec":{"x":"\udcff"}})", {"b", 5}},
        {R"({"meta":{"name":"b","revision":5},"spec":)" + nested + "}", {"b", 5}},
        {R"({"meta":{"name":"b","revision":5},"spec":{},"status":"\udcff"})", {"b", 5}},
        {R"({"meta":{"name":"b","revision":5,"x":"\udcff"},"spec":{}})", {"b", 5}},
        {R"({"meta":{"name":"b","revision":1e99999999999},"spec":{}})", {"b", 0}},
        {R"({"meta":{"name":"\udcff","revision":5},"spec":{}})", {"", 5}},
        {R"({"meta":"\udcff","spec":{}})", {"", 0}},
        {R"({"meta" 5})", {"", 0}},
        {R"({"meta":{"name":"","revision":5},"spec":{}})", {"", 5}},
    }));
    CAPTURE(each.object);
    const auto kind = balance::ViewKind::Evacuations;
    const std::string other = R"({"meta":{"name":"a","revision":4},"spec":{}})";
    const auto page = parseTolerantly(R"({"items":[)" + other + "," + each.object
                                      + R"(],"has_more":false,"as_of":7})");
    REQUIRE(page);
    balance::ViewList list;
    list.result = PlatformResult::Ok;
    CHECK_FALSE(decodeListPage(kind, *page, list));
    CHECK(list.result == PlatformResult::Ok);
    REQUIRE(list.objects.size() == 2);
    CHECK_FALSE(isMalformed(list.objects[0].value));
    CHECK(list.objects[1].key == each.expected.key);
    CHECK(list.objects[1].version == each.expected.version);
    CHECK(isMalformed(list.objects[1].value));

    const bool removed = GENERATE(false, true);
    const auto body = parseTolerantly(R"({"events":[{"removed":false,"object":)" + other
                                      + R"(},{"removed":)" + (removed ? "true" : "false")
                                      + R"(,"object":)" + each.object + R"(}],"as_of":7})");
    REQUIRE(body);
    const auto events = decodeEvents(kind, *body, 1);
    CHECK(events.result == PlatformResult::Ok);
    REQUIRE(events.events.size() == 2);
    CHECK(events.events[1].key == each.expected.key);
    CHECK(events.events[1].version == each.expected.version);
    // An object without a name can't be removed, but it is reported.
    CHECK(events.events[1].value.has_value() == (!removed || each.expected.key.empty()));
}

// Guards against a list that ends early because the last name of its page is unreadable.
TEST_CASE("the next page starts after the last readable name", "[ObjectCodec]")
{
    struct Case
    {
        std::string first;
        PlatformResult result;
        std::optional<std::string> next;
    };
    const auto each = GENERATE(values<Case>({
        {R"("a")", PlatformResult::Ok, "a"},
        {R"("\udcff")", PlatformResult::Unavailable, std::nullopt},
    }));
    const auto page = parseTolerantly(R"({"items":[{"meta":{"name":)" + each.first
                                      + R"(,"revision":4}},{"meta":{"name":"\udcff"}}],)"
                                      + R"("has_more":true,"as_of":7})");
    REQUIRE(page);
    balance::ViewList list;
    list.result = PlatformResult::Ok;
    CHECK(decodeListPage(balance::ViewKind::Upstreams, *page, list) == each.next);
    CHECK(list.result == each.result);
}

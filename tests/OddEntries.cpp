#include "platform/ObjectCodec.h"
#include "store/TolerantParse.h"
#include "view/ViewCodec.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

using namespace bulrushgap;
using balance::ViewKind;

namespace {

using Members = std::map<std::string, std::string>; //!< JSON texts by the names of the members.

/** \returns members that a spec of the kind must have. */
Members goodSpec(ViewKind kind)
{
    switch (kind) {
    case ViewKind::Upstreams:
        return {{"service", R"("s1")"},
                {"addr", R"("10.1.0.9:8080")"},
                {"zone", R"("yala")"},
                {"version", R"("v1")"},
                {"slots", "2"},
                {"state", R"("ready")"},
                {"seq", "4"},
                {"slow_start_ms", "1500"},
                {"born", "1700000000123"}};
    case ViewKind::Members:
        return {{"domain", R"("yala")"}, {"peer", R"("10.0.0.1:7720")"}, {"capacity", "200"}};
    case ViewKind::Configurations:
        return {{"version", "7"}, {"routes", "[]"}, {"services", "[]"}};
    case ViewKind::Evacuations:
        break;
    }
    return {{"by", R"("operator")"}};
}

std::string objectText(const Members &members)
{
    std::string text;
    for (const auto &[name, value] : members)
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + value;
    return text + "}";
}

std::string storedObject(const std::string &name, const std::string &revision,
                         const std::string &spec)
{
    return R"({"meta":{"name":)" + name + R"(,"revision":)" + revision + R"(},"spec":)" + spec
           + "}";
}

/** \returns an object whose spec is usable but for \a member. */
std::string withSpec(ViewKind kind, const std::string &member, const std::string &value)
{
    Members spec = goodSpec(kind);
    spec[member] = value;
    return storedObject(R"("i-b")", "5", objectText(spec));
}

/** \returns the objects of a list and the events of a watch with \a odd between two good ones. */
struct Answers
{
    explicit Answers(ViewKind kind, const std::string &odd)
    {
        const std::string good = objectText(goodSpec(kind));
        const std::string before = storedObject(R"("i-a")", "4", good);
        const std::string after = storedObject(R"("i-c")", "6", good);
        const auto page = parseTolerantly(R"({"items":[)" + before + "," + odd + "," + after
                                          + R"(],"has_more":false,"as_of":9})");
        REQUIRE(page);
        this->list.result = PlatformResult::Ok;
        CHECK_FALSE(platform::decodeListPage(kind, *page, this->list));
        const std::string event = R"({"removed":false,"object":)";
        const auto body = parseTolerantly(R"({"events":[)" + event + before + "}," + event + odd
                                          + "}," + event + after + R"(}],"as_of":9})");
        REQUIRE(body);
        this->events = platform::decodeEvents(kind, *body, 1);
    }

    balance::ViewList list;
    balance::ViewEvents events;
};

bool isMalformed(const std::optional<balance::ViewObject> &object)
{
    return object && std::holds_alternative<balance::MalformedObject>(*object);
}

/** \brief Checks that only the second of three objects is malformed, and only if \a odd. */
template <typename Objects>
void checkObjects(const Objects &objects, bool odd)
{
    REQUIRE(objects.size() == 3);
    CHECK_FALSE(isMalformed(objects[0].value));
    CHECK(isMalformed(objects[1].value) == odd);
    CHECK_FALSE(isMalformed(objects[2].value));
    CHECK(objects[0].key == "i-a");
    CHECK(objects[2].key == "i-c");
}

void checkAnswers(ViewKind kind, const std::string &object, bool odd)
{
    CAPTURE(balance::toString(kind), object.substr(0, 300));
    const Answers answers(kind, object);
    CHECK(answers.list.result == PlatformResult::Ok);
    CHECK(answers.list.revision == 9);
    checkObjects(answers.list.objects, odd);
    CHECK(answers.events.result == PlatformResult::Ok);
    CHECK(answers.events.revision == 9);
    checkObjects(answers.events.events, odd);
    const auto passedOn = balance::decodeList(kind, balance::encodeList(kind, answers.list));
    REQUIRE(passedOn);
    const bool isPassedOn
        = !odd || (kind == ViewKind::Evacuations && !answers.list.objects[1].key.empty());
    CHECK(passedOn->objects.size() == (isPassedOn ? 3 : 2));
}

/** \brief Values of a member and whether an entry with them may be used. */
struct Values
{
    ViewKind kind;
    std::string member;
    bool usable;
    std::vector<std::string> values;
};

void checkValues(const Values &each)
{
    for (const std::string &value : each.values)
        checkAnswers(each.kind, withSpec(each.kind, each.member, value), !each.usable);
}

} // namespace

// Guards against flows, probes and connections to an address that is not that of a host.
TEST_CASE("an address that names no host costs only its entry", "[OddEntries]")
{
    const std::vector<std::string> odd{R"("10.1.0.9:0")",         R"("10.1.0.9:65536")",
                                       R"("10.1.0.9:70000")",     R"("10.1.0.9:-1")",
                                       R"("10.1.0.9:8080x")",     R"("10.1.0.9:")",
                                       R"("10.1.0.9: 80")",       R"(" 10.1.0.9:80")",
                                       R"("999.1.1.1:80")",       R"("::1")",
                                       R"("[::1]:80")",           R"("host.example:80")",
                                       R"("0.0.0.0:80")",         R"("224.0.0.1:80")",
                                       R"("255.255.255.255:80")", R"("10.1.0.9:99999999999")"};
    checkValues({ViewKind::Upstreams, "addr", false, odd});
    checkValues({ViewKind::Members, "peer", false, odd});
    checkValues({ViewKind::Upstreams, "addr", true, {R"("127.0.0.1:1")", R"("223.1.1.1:65535")"}});
}

// Guards against numbers that are out of range or cut to whole ones, of which a large number of
// slots would draw all flows to one upstream.
TEST_CASE("a number that its member can't have costs only its entry", "[OddEntries]")
{
    const std::vector<std::string> never{"-1",
                                         "1e400",
                                         "-1e400",
                                         "1e19",
                                         "9223372036854775808",
                                         "18446744073709551616",
                                         "NaN",
                                         "null",
                                         "true",
                                         "-Infinity",
                                         R"("2")",
                                         "[2]",
                                         "{}",
                                         std::string(4'000, '9')};
    std::vector<std::string> notWhole = never;
    notWhole.emplace_back("1.5");
    std::vector<std::string> noSlots = notWhole;
    noSlots.insert(noSlots.end(), {"0", "4097", "65536", "4294967295", "1e15"});
    std::vector<std::string> noCapacity = notWhole;
    noCapacity.insert(noCapacity.end(), {"4294967296", "1e15"});
    checkValues({ViewKind::Upstreams, "slots", false, noSlots});
    checkValues({ViewKind::Upstreams, "slots", true, {"1", "2.0", "4096"}});
    checkValues({ViewKind::Upstreams, "born", false, notWhole});
    checkValues({ViewKind::Upstreams, "slow_start_ms", false, never});
    checkValues({ViewKind::Upstreams, "slow_start_ms", true, {"0", "1.5", "1e15"}});
    checkValues({ViewKind::Members, "capacity", false, noCapacity});
    checkValues({ViewKind::Members, "capacity", true, {"0", "4294967295"}});
    const std::string fractions
        = R"({"version":7.5,"routes":[{"name":"r","hostname":"198.18.0.1","path_prefix":"/80/",)"
          R"("route_type":"safe","traffic_split":[{"service":"s1","weight":1.5}]}],"services":[]})";
    // The store accepts only valid configurations, so a fraction must not cost the routes.
    CHECK(platform::decodeConfiguration(boost::json::parse(fractions)));
}

// Guards against entries of other writers that pass for those of hosts.
TEST_CASE("a member of another type costs only its entry", "[OddEntries]")
{
    const std::vector<std::string> noText{"7", "null", "[]", R"("")", "\"\xff\"", R"("\udcff")"};
    for (const std::string member : {"service", "zone", "version", "state", "addr"})
        checkValues({ViewKind::Upstreams, member, false, noText});
    checkValues({ViewKind::Members, "domain", false, noText});
    checkValues({ViewKind::Upstreams, "state", false, {R"("asleep")", R"("Ready")", "true"}});
    checkValues({ViewKind::Upstreams, "seq", false, {R"("4")", "null", "-1", "1.5", "1e400"}});
    // An unknown service has no routes, so that no flows are placed.
    checkValues({ViewKind::Upstreams, "service", true, {R"("unknown")"}});
}

// Guards against an entry that lacks what hosts write and passes for that of a host.
TEST_CASE("an upstream's entry without a member is not usable", "[OddEntries]")
{
    for (const std::string member :
         {"service", "zone", "version", "state", "addr", "slots", "seq", "slow_start_ms"}) {
        Members spec = goodSpec(ViewKind::Upstreams);
        spec.erase(member);
        checkAnswers(ViewKind::Upstreams, storedObject(R"("i-b")", "5", objectText(spec)), true);
    }
}

// Guards against a stack that overflows, and against work that is not linear in the size.
TEST_CASE("deep nesting costs only its entry", "[OddEntries]")
{
    const auto depth
        = GENERATE(std::size_t{33}, std::size_t{200}, std::size_t{10'000}, std::size_t{200'000});
    const auto kind = GENERATE(ViewKind::Upstreams, ViewKind::Members, ViewKind::Evacuations);
    struct Bracket
    {
        std::string opening;
        std::string closing;
    };
    const auto each
        = GENERATE(values<Bracket>({{"[", "]"}, {R"({"a":)", "}"}, {R"([{"a":)", "}]"}}));
    std::string nested;
    for (std::size_t i = 0; i < depth; ++i)
        nested += each.opening;
    nested += "1";
    for (std::size_t i = 0; i < depth; ++i)
        nested += each.closing;
    const std::string good = objectText(goodSpec(kind));
    checkAnswers(kind, withSpec(kind, "x", nested), true);
    checkAnswers(kind, storedObject(R"("i-b")", "5", nested), true);
    checkAnswers(kind, storedObject(nested, "5", good), true);
    checkAnswers(kind, storedObject(R"("i-b")", nested, good), true);
    checkAnswers(
        kind, R"({"status":)" + nested + "," + storedObject(R"("i-b")", "5", good).substr(1), true);
}

// Guards against names that identify no host, or that other systems can't carry.
TEST_CASE("a name that can't be used costs only its entry", "[OddEntries]")
{
    const std::string good = objectText(goodSpec(ViewKind::Upstreams));
    for (const std::string name :
         {R"("i-")", R"("i-xyz")", R"("i-0")", R"("")", R"("i-11223344556677889")", R"("i-7f ")",
          R"("i-7f\u0000")", "\"i-\xff\"", R"("i-\udcff7f")", "7", "null", "[]"})
        checkAnswers(ViewKind::Upstreams, storedObject(name, "5", good), true);
    for (const ViewKind kind : {ViewKind::Upstreams, ViewKind::Members, ViewKind::Evacuations})
        checkAnswers(kind,
                     storedObject('"' + std::string(100'000, 'x') + R"(-7f")", "5",
                                  objectText(goodSpec(kind))),
                     true);
    checkAnswers(ViewKind::Evacuations, storedObject(R"("a zone\n/?\u0000\"")", "5", "{}"), false);
    checkAnswers(ViewKind::Evacuations, storedObject(R"("yala")", "5", R"("no object")"), false);
}

// Guards against an entry whose later changes are discarded as older ones.
TEST_CASE("the revision of an entry is at most that of the answer", "[OddEntries]")
{
    const std::string good = objectText(goodSpec(ViewKind::Upstreams));
    const Answers answers(ViewKind::Upstreams,
                          storedObject(R"("i-b")", "9223372036854775807", good));
    CHECK(answers.list.revision == 9);
    CHECK(answers.list.objects.at(1).version == 9);
    CHECK(answers.events.revision == 9);
    CHECK(answers.events.events.at(1).version == 9);
}

// Guards against an entry that replaces newer ones, as it has no place in their order.
TEST_CASE("an entry without a revision costs only that entry", "[OddEntries]")
{
    const std::string good = objectText(goodSpec(ViewKind::Upstreams));
    for (const std::string revision :
         {"0", "-1", "1.5", "1e400", "9223372036854775808", R"("5")", "null", "[]", "{}", "NaN"})
        checkAnswers(ViewKind::Upstreams, storedObject(R"("i-b")", revision, good), true);
}

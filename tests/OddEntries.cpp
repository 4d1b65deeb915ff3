#include "platform/ObjectCodec.h"
#include "store/TolerantParse.h"
#include "view/ViewCodec.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

using namespace bulrushgap;
using balance::ViewKind;

namespace {

using Members = std::map<std::string, std::string>; //!< JSON texts by the names of the members.

const std::string absent; //!< In place of the value of a member that a spec lacks.

/** \returns members that a spec of the kind must have. */
Members goodSpec(ViewKind kind)
{
    if (kind == ViewKind::Members)
        return {{"domain", R"("yala")"}, {"peer", R"("10.0.0.1:7720")"}, {"capacity", "200"}};
    if (kind == ViewKind::Evacuations)
        return {{"by", R"("operator")"}};
    return {{"service", R"("s1")"},
            {"addr", R"("10.1.0.9:8080")"},
            {"zone", R"("yala")"},
            {"version", R"("v1")"},
            {"slots", "2"},
            {"state", R"("ready")"},
            {"slow_start_ms", "1500"},
            {"seq", "4"},
            {"born", "1700000000123"}};
}

std::string objectText(const Members &members)
{
    std::string text;
    for (const auto &[name, value] : members)
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + value;
    return text + "}";
}

/** \returns a usable entry but for \a changes: of "name", "revision", "spec", "status" or members
 * of the spec. */
std::string entryWith(ViewKind kind, const Members &changes)
{
    Members meta{{"name", R"("i-b")"}, {"revision", "5"}};
    Members spec = goodSpec(kind);
    std::string status;
    for (const auto &[member, value] : changes) {
        if (member == "status")
            status = R"("status":)" + value + ",";
        else if (value == absent)
            spec.erase(member);
        else if (member != "spec")
            (meta.contains(member) ? meta : spec)[member] = value;
    }
    const auto whole = changes.find("spec");
    return "{" + status + R"("meta":)" + objectText(meta) + R"(,"spec":)"
           + (whole == changes.end() ? objectText(spec) : whole->second) + "}";
}

/** \returns the objects of a list and the events of a watch with \a odd between two good ones. */
struct Answers
{
    explicit Answers(ViewKind kind, const std::string &odd)
    {
        const std::string before = entryWith(kind, {{"name", R"("i-a")"}, {"revision", "4"}});
        const std::string after = entryWith(kind, {{"name", R"("i-c")"}, {"revision", "6"}});
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

/** \returns the values that \a text has between vertical bars. */
std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, '|');)
        parts.push_back(part);
    return parts;
}

/** \returns values in brackets of several kinds and depths. */
std::vector<std::string> nestedValues()
{
    using Brackets = std::pair<std::string, std::string>;
    std::vector<std::string> result;
    for (const std::size_t depth : {33, 200, 10'000, 200'000}) {
        for (const auto &[opening, closing] :
             {Brackets{"[", "]"}, Brackets{R"({"a":)", "}"}, Brackets{R"([{"a":)", "}]"}}) {
            std::string &text = result.emplace_back();
            for (std::size_t i = 0; i < 2 * depth; ++i)
                text += i < depth ? opening : (i == depth ? "1" : "") + closing;
        }
    }
    return result;
}

/** \brief Values of members and whether an entry with one of them may be used. */
struct Values
{
    std::vector<ViewKind> kinds;
    std::vector<std::string> members;
    bool usable;
    std::vector<std::string> values;
};

std::vector<Values> memberValues()
{
    const std::vector<ViewKind> upstreams{ViewKind::Upstreams};
    const std::vector<ViewKind> members{ViewKind::Members};
    const std::vector<ViewKind> all{ViewKind::Upstreams, ViewKind::Members, ViewKind::Evacuations};
    const std::string noAddress
        = R"("10.1.0.9:0"|"10.1.0.9:65536"|"10.1.0.9:70000"|"10.1.0.9:-1"|"10.1.0.9:8080x"|)"
          R"("10.1.0.9:"|"10.1.0.9: 80"|" 10.1.0.9:80"|"999.1.1.1:80"|"::1"|"[::1]:80"|)"
          R"("host.example:80"|"0.0.0.0:80"|"224.0.0.1:80"|"255.255.255.255:80"|)"
          R"("10.1.0.9:99999999999")";
    const std::string never = R"(-1|1e400|-1e400|1e19|9223372036854775808|18446744073709551616|)"
                              R"(NaN|null|true|-Infinity|"2"|[2]|{}|)"
                              + std::string(4'000, '9');
    const std::string notWhole = never + "|1.5";
    const std::string noText = "7|null|[]|\"\"|\"\xff\"|\"\\udcff\"";
    const std::string noName = R"("i-"|"i-xyz"|"i-0"|""|"i-11223344556677889"|"i-7f "|)"
                               "\"i-7f\\u0000\"|\"i-\xff\"|\"i-\\udcff7f\"|7|null|[]";
    const std::string longName = '"' + std::string(100'000, 'x') + R"(-7f")";
    const std::string noRevision = R"(0|-1|1.5|1e400|9223372036854775808|"5"|null|[]|{}|NaN)";
    return {
        // Flows, probes and connections would go to an address that is not that of a host.
        {upstreams, {"addr"}, false, split(noAddress)},
        {members, {"peer"}, false, split(noAddress)},
        {upstreams, {"addr"}, true, split(R"("127.0.0.1:1"|"223.1.1.1:65535")")},
        // A number would be out of range or cut to a whole one: with a large number of slots, all
        // flows would go to one upstream.
        {upstreams, {"slots"}, false, split(notWhole + "|0|4097|65536|4294967295|1e15")},
        {upstreams, {"slots"}, true, split("1|2.0|4096")},
        {upstreams, {"born"}, false, split(notWhole)},
        {upstreams, {"slow_start_ms"}, false, split(never)},
        {upstreams, {"slow_start_ms"}, true, split("0|1.5|1e15")},
        {members, {"capacity"}, false, split(notWhole + "|4294967296|1e15")},
        {members, {"capacity"}, true, split("0|4294967295")},
        // An entry of another writer would pass for that of a host.
        {upstreams, split("service|zone|version|state|addr"), false, split(noText)},
        {members, {"domain"}, false, split(noText)},
        {upstreams, {"state"}, false, split(R"("asleep"|"Ready"|true)")},
        {upstreams, {"seq"}, false, split(R"("4"|null|-1|1.5|1e400)")},
        // An unknown service has no routes, so that no flows are placed.
        {upstreams, {"service"}, true, {R"("unknown")"}},
        // An entry that lacks what hosts write would pass for that of a host.
        {upstreams,
         split("service|zone|version|state|addr|slots|seq|slow_start_ms"),
         false,
         {absent}},
        // The stack would overflow, or the work would not be linear in the size.
        {all, {"x", "spec", "name", "revision", "status"}, false, nestedValues()},
        // A name would identify no host, or other systems can't carry it.
        {upstreams, {"name"}, false, split(noName)},
        {all, {"name"}, false, {longName}},
        // Without a place in the order of changes, an entry would replace newer ones.
        {upstreams, {"revision"}, false, split(noRevision)},
    };
}

} // namespace

// Guards against a value of another writer that passes for that of a host, or costs other entries.
TEST_CASE("a value that its member can't have costs only its entry", "[OddEntries]")
{
    const auto each = GENERATE(from_range(memberValues()));
    for (const ViewKind kind : each.kinds) {
        for (const std::string &member : each.members) {
            CAPTURE(member);
            for (const std::string &value : each.values)
                checkAnswers(kind, entryWith(kind, {{member, value}}), !each.usable);
        }
    }
}

// Guards against evacuations and routes that are lost for what doesn't matter to them. The store
// accepts only valid configurations, so a fraction in one is no reason to reject it.
TEST_CASE("odd evacuations and configurations remain in force", "[OddEntries]")
{
    constexpr auto kind = ViewKind::Evacuations;
    checkAnswers(kind, entryWith(kind, {{"name", R"("a zone\n/?\u0000\"")"}, {"spec", "{}"}}),
                 false);
    checkAnswers(kind, entryWith(kind, {{"name", R"("yala")"}, {"spec", R"("no object")"}}), false);
    const std::string fractions
        = R"({"version":7.5,"routes":[{"name":"r","hostname":"198.18.0.1","path_prefix":"/80/",)"
          R"("route_type":"safe","traffic_split":[{"service":"s1","weight":1.5}]}],"services":[]})";
    CHECK(platform::decodeConfiguration(boost::json::parse(fractions)));
}

// Guards against an entry whose later changes are discarded as older ones.
TEST_CASE("the revision of an entry is at most that of the answer", "[OddEntries]")
{
    const Answers answers(ViewKind::Upstreams,
                          entryWith(ViewKind::Upstreams, {{"revision", "9223372036854775807"}}));
    CHECK(answers.list.revision == 9);
    CHECK(answers.list.objects.at(1).version == 9);
    CHECK(answers.events.revision == 9);
    CHECK(answers.events.events.at(1).version == 9);
}

#include "plan/Selector.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bulrushgap;

namespace {

Labels sampleLabels()
{
    Labels labels;
    labels.set("app", "dispatch");
    labels.set("state", "draining");
    return labels;
}

} // namespace

// Guards against selectors that choose upstreams of another service.
TEST_CASE("selectors match labels", "[Selector]")
{
    const auto [text, matches] = GENERATE(table<std::string, bool>({
        {"app=dispatch", true},
        {"app=gallery", false},
        {"app!=gallery", true},
        {"app!=dispatch", false},
        {"zone!=north", true},
        {"state", true},
        {"zone", false},
        {"!zone", true},
        {"!state", false},
        {"app=dispatch,!zone,state=draining", true},
        {"app=dispatch,zone", false},
    }));
    CAPTURE(text);
    const Selector selector = Selector::parse(text).value();
    REQUIRE(selector.matches(sampleLabels()) == matches);
    REQUIRE(selector.toString() == text);
}

// Guards against malformed selectors that are read as something wider, such as "everything".
TEST_CASE("malformed selectors are refused with the position", "[Selector]")
{
    const auto [text, position] = GENERATE(table<std::string, std::size_t>({
        {"", 0},
        {"app=", 4},
        {"=x", 0},
        {"app=dispatch,", 13},
        {",app", 0},
        {"app=a b", 4},
        {"a=b,!c=d", 6},
        {"a=b,c!", 4},
        {"a=b=c", 2},
        {"!", 1},
        {"!=x", 1},
    }));
    CAPTURE(text);
    const auto found = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::size_t> {
            BOOST_LEAF_CHECK(Selector::parse(text));
            return std::string::npos;
        },
        [](const SelectorFault &fault) { return fault.position; },
        []() { return std::string::npos; });
    REQUIRE(found == position);
}

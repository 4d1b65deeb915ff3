#include "store/TolerantParse.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace bulrushgap;

namespace {

const std::string nested = std::string(40, '[') + std::string(40, ']');

/** \returns the answer with \a item between two objects. */
std::string answerWith(const std::string &item)
{
    return R"({"items":[{"a":1},)" + item + R"(,{"c":3}],"as_of":7})";
}

} // namespace

// Guards against a part that is unreadable and costs what stands beside it.
TEST_CASE("unreadable parts are left out and named", "[TolerantParse]")
{
    struct Case
    {
        std::string item;
        std::string expected; //!< Without the mark.
        std::string member;
    };
    const auto each = GENERATE_COPY(values<Case>({
        {R"({"b":2,"x":"\udcff\udcfe\udc80"})", R"({"b":2})", "x"},
        {R"({"x":"\ud800","b":2})", R"({"b":2})", "x"},
        {R"({"b":2,"x":)" + nested + "}", R"({"b":2,"x":[[{"\u0001unreadable":{"":"too deep"}}]]})",
         "x"},
        {"{\"b\":2,\"x\":\"\xff\"}", R"({"b":2})", "x"},
        {"{\"b\":2,\"x\":\"\x01\"}", R"({"b":2})", "x"},
        {R"({"b":2,"x":"\q"})", R"({"b":2})", "x"},
        {R"({"b":2,"x":1e999999999999})", R"({"b":2})", "x"},
        {R"({"b":2,"x":nonsense})", R"({"b":2})", "x"},
        {R"({"b":2,"x":"}]\"\\","y":"\udcff"})", R"({"b":2,"x":"}]\"\\"})", "y"},
        {R"({ "b" : 2 , "x" : { "y" : "\udcff" , "z" : 1 } })", R"({"b":2,"x":{"z":1}})", "y"},
        {R"({"b":2,"\udcff":1})", R"({"b":2})", ""},
        {R"({"b":2 "x":1})", "{}", ""},
        {R"("\udcff")", "{}", ""},
    }));
    CAPTURE(each.item);
    const auto body = parseTolerantly(answerWith(each.item));
    REQUIRE(body);
    CHECK(body->at("as_of") == 7);
    const auto &items = body->at("items").as_array();
    REQUIRE(items.size() == 3);
    CHECK(items[0] == boost::json::parse(R"({"a":1})"));
    CHECK(items[2] == boost::json::parse(R"({"c":3})"));
    boost::json::object item = items[1].as_object();
    REQUIRE(item.contains(unreadableMember));
    const auto &mark = item.at(unreadableMember).as_object();
    REQUIRE(mark.size() == 1);
    CHECK(std::string(mark.begin()->key()) == each.member);
    CHECK_FALSE(mark.begin()->value().as_string().empty());
    item.erase(unreadableMember);
    for (auto &[name, value] : item) {
        if (value.is_object())
            value.as_object().erase(unreadableMember);
    }
    CHECK(boost::json::value(item) == boost::json::parse(each.expected));
}

// Guards against an answer that is cut off or garbled and passes for a shorter one.
TEST_CASE("an answer that is truncated or not JSON is refused", "[TolerantParse]")
{
    const std::string faulty = answerWith(R"({"b":"\udcff"})");
    const auto text = GENERATE_COPY(values<std::string>({
        "",
        " ",
        "null",
        "[]",
        "{",
        "\"\\",
        "nonsense",
        answerWith("{}") + "}",
        faulty + "x",
        faulty + faulty,
        "[" + faulty + "]",
        R"({"items":[{"b":"\udcff"}],"as_of":7,})",
        R"({"items":[{"b":"\udcff"},],"as_of":7})",
        R"({"items":[{"b":"\udcff"}}],"as_of":7})",
        R"({"items":[{"b":"\udcff"]],"as_of":7})",
        R"({"items":[{"b":"\udcff"}],"as_of":nonsense})",
        R"({"items":[{"b":"\udcff"}],"has_more":"\udcff","as_of":7})",
        R"({"items":[{"b":"\udcff"}],"\udcff":true,"as_of":7})",
        R"({"items":{"b"]],"as_of":7})",
        R"({"items")",
        R"({"items":)",
    }));
    CAPTURE(text);
    CHECK_FALSE(parseTolerantly(text));
    for (std::size_t size = 0; size < faulty.size(); ++size)
        CHECK_FALSE(parseTolerantly(std::string_view(faulty).substr(0, size)));
}

// Guards against a stack that overflows on deep nesting.
TEST_CASE("deep nesting is skipped without recursion", "[TolerantParse]")
{
    constexpr std::size_t depth = 1'000'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const auto body = parseTolerantly(answerWith(R"({"b":2,"x":)" + deep + "}"));
    REQUIRE(body);
    CHECK(body->at("items").as_array().size() == 3);
    CHECK_FALSE(parseTolerantly(answerWith(std::string(depth, '['))));
}

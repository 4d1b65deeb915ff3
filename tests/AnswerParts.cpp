#include "request/AnswerParts.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace bulrushgap;

namespace {

struct Part
{
    std::uint32_t number;
    bool last;
    AddPartResult expected;
};

using Parts = std::vector<Part>;

} // namespace

// Guards against answers that count as complete while a part is missing, or that exceed the limits.
TEST_CASE("answers are complete when all parts have arrived", "[AnswerParts]")
{
    using enum AddPartResult;
    const auto [parts, complete] = GENERATE(table<Parts, bool>({
        {Parts{}, false},
        {Parts{{0, true, Added}}, true},
        {Parts{{0, false, Added}, {1, false, Added}}, false},
        {Parts{{1, true, Added}}, false},
        {Parts{{2, true, Added}, {0, false, Added}, {0, false, Duplicate}, {1, false, Added}},
         true},
        {Parts{{1, true, Added}, {2, false, Conflict}, {0, true, Conflict}}, false},
        {Parts{{1, false, Added}, {0, true, Conflict}}, false},
        {Parts{{4, false, TooLarge}}, false},
        {Parts{{0, false, Added}, {1, false, Added}, {2, false, Added}, {3, true, TooLarge}},
         false},
    }));
    AnswerParts answer({6, 4});
    const std::vector<std::byte> bytes(2);
    for (const Part &part : parts)
        REQUIRE(answer.add(part.number, part.last, bytes) == part.expected);
    REQUIRE(answer.complete() == complete);
    REQUIRE(answer.size() == 2 * answer.ordered().size());
}

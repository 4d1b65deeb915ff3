#include "admission/DeadlineQueue.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace bulrushgap;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{1h};

std::vector<std::uint64_t> drain(DeadlineQueue &queue, std::size_t count)
{
    std::vector<std::uint64_t> order;
    queue.drainTo(
        [&](std::uint64_t handle) {
            order.push_back(handle);
            return true;
        },
        [&] { return order.size() < count; });
    return order;
}

} // namespace

// Guards against queueing a request that cannot finish before its deadline.
TEST_CASE("a request is queued only if it can finish in time", "[DeadlineQueue]")
{
    // Two requests are queued already; the service time is 100 ms.
    const auto [deadline, slots, expected] = GENERATE(table<Duration, int, PushResult>({
        {399ms, 1, PushResult::TooLate},
        {400ms, 1, PushResult::Queued},
        {249ms, 2, PushResult::TooLate},
        {250ms, 2, PushResult::Queued},
        {150ms, 2, PushResult::Queued}, // Ahead of the others.
    }));
    Random random(1);
    DeadlineQueue queue(8);
    const ServiceRate rate{100ms, 100ms, static_cast<std::uint32_t>(slots)};
    const ServiceRate fast{0ms, 0ms, 1};
    REQUIRE(queue.push({1, start + 220ms}, fast, start, random).result == PushResult::Queued);
    REQUIRE(queue.push({2, start + 210ms}, fast, start, random).result == PushResult::Queued);
    REQUIRE(queue.push({3, start + deadline}, rate, start, random).result == expected);
    REQUIRE(
        queue.takeLate(rate, start + 115ms)
        == (deadline == 150ms ? std::vector<std::uint64_t>{3, 2} : std::vector<std::uint64_t>{2}));
}

// Guards against dispatch out of order, and against overflow that always drops the same requests.
TEST_CASE("the queue is ordered by deadline and drops fairly", "[DeadlineQueue]")
{
    const ServiceRate fast{0ms, 0ms, 1};
    std::vector<int> drops(5);
    Random random(1);
    for (int run = 0; run < 1000; ++run) {
        DeadlineQueue queue(4);
        PushOutcome outcome;
        for (const std::uint64_t handle : {2, 0, 4, 1, 3}) {
            REQUIRE(outcome.result == PushResult::Queued);
            outcome = queue.push({handle, start + handle * 1s}, fast, start, random);
        }
        REQUIRE(outcome.result == PushResult::Overflowed);
        ++drops[outcome.victim];
        REQUIRE(queue.size() == 4);
        const auto order = drain(queue, 3);
        REQUIRE(std::is_sorted(order.begin(), order.end()));
        REQUIRE(queue.size() == 1);
    }
    for (const int count : drops)
        REQUIRE(count > 150);
}

#include "simulation/LinkQueue.h"

#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::simulation;
using namespace std::chrono_literals;

namespace {

/** A rate of 8 Mbit/s passes a byte in a microsecond. */
constexpr LinkCapacity byteInMicrosecond{8, 2'000};

struct Push
{
    Duration at;
    bool datagram;
    std::size_t bytes;
    std::optional<Duration> passes; //!< Time after \c at, or nothing for a loss.
};

struct Case
{
    std::string name;
    std::vector<Push> pushes;
};

} // namespace

// Guards against links that reorder bytes, forget a backlog, or lose bytes of connections.
TEST_CASE("Bytes pass a link in order at its rate", "[LinkQueue]")
{
    const auto each = GENERATE(values<Case>({
        {"an idle link", {{0us, true, 1'000, 1'000us}, {5'000us, true, 500, 500us}}},
        {"a datagram behind another", {{0us, true, 1'000, 1'000us}, {400us, true, 500, 1'100us}}},
        {"a datagram behind a connection that fills the queue",
         {{0us, false, 2'000, 2'000us},
          {0us, true, 100, std::nullopt},
          {100us, true, 100, 2'000us}}},
        {"a datagram that fills the queue",
         {{0us, true, 2'000, 2'000us}, {0us, true, 1, std::nullopt}}},
        {"connections beyond the queue",
         {{0us, false, 90'000, 90'000us}, {10'000us, false, 1'000, 81'000us}}},
    }));
    INFO(each.name);
    LinkQueue queue(byteInMicrosecond);
    const TimePoint start{1s};
    for (const Push &push : each.pushes) {
        INFO(push.at.count());
        const TimePoint now = start + push.at;
        CHECK((push.datagram ? queue.pushDatagram(push.bytes, now)
                             : queue.pushStream(push.bytes, now))
              == push.passes);
    }
}

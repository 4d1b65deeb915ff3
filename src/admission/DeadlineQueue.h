#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bulrushgap {

struct QueuedRequest
{
    std::uint64_t handle = 0;
    TimePoint deadline;
};

enum class PushResult {
    Queued,
    TooLate,    //!< The request could not finish before its deadline.
    Overflowed, //!< The queue was full; the victim may be the new request.
};

struct PushOutcome
{
    PushResult result = PushResult::Queued;
    std::uint64_t victim = 0; //!< The dropped request, if Overflowed.
};

/** \brief Estimated service time and parallelism of a service. */
struct ServiceRate
{
    Duration serviceTime{0};      //!< Average.
    Duration serviceTimeBound{0}; //!< Upper estimate; a request with less time left is late.
    std::uint32_t slots = 1;
};

/** \brief Bounded queue of one service, ordered by deadline.
 *
 * On overflow, the victim is chosen at random among all requests, including the new one, so that
 * requests with long deadlines are not starved by those with short ones.
 */
class DeadlineQueue
{
public:
    explicit DeadlineQueue(std::size_t capacity)
        : capacity(capacity)
    {}

    [[nodiscard]] PushOutcome push(const QueuedRequest &request, const ServiceRate &rate,
                                   TimePoint now, Random &random);

    /** \brief Removes and returns the requests that can no longer finish before their deadline. */
    [[nodiscard]] std::vector<std::uint64_t> takeLate(const ServiceRate &rate, TimePoint now);

    /** \brief Calls \a take for requests by deadline and removes those for which it returns true.
     *
     * Stops when \a canContinue returns false. */
    void drainTo(const std::function<bool(std::uint64_t)> &take,
                 const std::function<bool()> &canContinue);

    /** \returns whether the request was queued. */
    bool remove(std::uint64_t handle);

    [[nodiscard]] std::size_t size() const { return this->entries.size(); }
    [[nodiscard]] bool empty() const { return this->entries.empty(); }

private:
    using Key = std::pair<TimePoint, std::uint64_t>; //!< Deadline and handle.

    std::size_t capacity;
    std::map<std::uint64_t, TimePoint> deadlines; //!< By handle.
    std::vector<Key> entries;                     //!< Sorted.
};

} // namespace bulrushgap

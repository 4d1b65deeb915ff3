#pragma once

#include "steering/FlowTracker.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <cstdint>

namespace bulrushgap::balance {

/** \brief Unanswered SYNs, indexed by caller address.
 *
 * Detects upstreams whose host refuses connections immediately: the caller then retries within
 * milliseconds from a new port, and only its next attempt shows that the previous one failed.
 */
class CallerAttempts
{
public:
    struct Attempt
    {
        FlowId flow;
        UpstreamIndex upstream = noUpstream;
        TimePoint sentAt{};
    };

    static constexpr std::size_t maxAttempts = 2;
    using Attempts = std::array<Attempt, maxAttempts>;

    /** \returns the caller's unanswered attempts, latest first; unused elements have no upstream.
     */
    [[nodiscard]] Attempts find(std::uint32_t callerAddress) const
    {
        const auto found = this->byCaller.find(callerAddress);
        return found == this->byCaller.end() ? Attempts{} : found->second;
    }

    void add(const Attempt &attempt)
    {
        Attempts &attempts = this->byCaller[attempt.flow.caller.address];
        attempts[1] = attempts[0];
        attempts[0] = attempt;
    }

    /** \brief Removes the attempts of the caller address of an answered flow. */
    void removeCaller(const FlowId &flow) { this->byCaller.erase(flow.caller.address); }

    void removeOlderThan(TimePoint oldest)
    {
        boost::unordered::erase_if(this->byCaller, [oldest](const auto &entry) {
            return entry.second[0].sentAt < oldest;
        });
    }

private:
    boost::unordered_flat_map<std::uint32_t, Attempts> byCaller;
};

} // namespace bulrushgap::balance

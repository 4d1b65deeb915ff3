#pragma once

#include "base/Time.h"

#include <boost/json/value.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::simulation {

/** \brief What the load balancer promises; each is checked from what callers and upstreams see. */
enum class Promise : std::uint8_t {
    PacketUnchanged,    //!< Ends get packets as their sender wrote them.
    RightService,       //!< Flows go to services that a configuration gave the route.
    RouteInForce,       //!< A dropped route opens no flows, a present one is not refused.
    NoFlowsToLeaving,   //!< Upstreams that leave get no new flows after the drain bound.
    NoFlowsToEvacuated, //!< The same for evacuated domains.
    NoFalseReset,       //!< An open flow whose upstream lives is not reset.
    FlowsStay,          //!< Packets of an open flow reach its upstream.
    ColdRate,           //!< A cold upstream gets no more than it bears.
    RunOnce,            //!< A request that must not be repeated runs once at most.
    RightAnswer,        //!< An answer is that of the request's own upstream, and whole.
    Recovery,           //!< After all instances were lost, requests are served again.
    Count,
};

[[nodiscard]] std::string_view toString(Promise promise);

/** \brief How a request has ended at its caller. */
enum class RequestResult : std::uint8_t {
    InAim,   //!< Answered within the aim.
    Late,    //!< Answered later.
    Refused, //!< Ended by a refusal or failure before its deadline.
    Expired, //!< Not answered by its deadline.
    Count,
};

[[nodiscard]] std::string_view toString(RequestResult result);

/** \brief Results of the requests of one class, or of one second. */
struct RequestCounts
{
    std::array<std::uint64_t, static_cast<std::size_t>(RequestResult::Count)> results{};

    void add(RequestResult result) { ++this->results.at(static_cast<std::size_t>(result)); }
    [[nodiscard]] std::uint64_t of(RequestResult result) const
    {
        return this->results.at(static_cast<std::size_t>(result));
    }
    [[nodiscard]] std::uint64_t total() const;
    [[nodiscard]] double servedShare() const;
};

/** \brief What a run has come to. */
class RunReport
{
public:
    void addRequest(const std::string &requestClass, RequestResult result, Duration sentAt,
                    Duration time);

    /** \brief Notes a broken promise; the first ones are kept as text. */
    void addBroken(Promise promise, Duration at, const std::string &what);

    void addLoad(const std::string &service, double busiestToMean)
    {
        this->imbalance[service] = busiestToMean;
    }

    void addCounter(const std::string &name, std::uint64_t value) { this->counters[name] += value; }

    [[nodiscard]] std::uint64_t broken(Promise promise) const
    {
        return this->brokenCounts.at(static_cast<std::size_t>(promise));
    }
    [[nodiscard]] std::uint64_t brokenTotal() const;
    [[nodiscard]] RequestCounts total() const;

    /** \returns the counts of requests that began between two seconds of the traffic. */
    [[nodiscard]] RequestCounts between(std::int64_t first, std::int64_t end) const;

    /** \returns the share served in the worst second that had requests. */
    [[nodiscard]] double worstSecond() const;
    [[nodiscard]] const std::vector<std::string> &brokenTexts() const { return this->texts; }
    [[nodiscard]] const std::map<std::int64_t, RequestCounts> &seconds() const
    {
        return this->bySecond;
    }
    [[nodiscard]] std::uint64_t counter(const std::string &name) const;

    /** \returns the report for people. */
    [[nodiscard]] std::string toText() const;
    [[nodiscard]] boost::json::value toJson() const;

private:
    [[nodiscard]] Duration percentile(std::size_t percent) const;

    std::map<std::string, RequestCounts> byClass;
    std::map<std::int64_t, RequestCounts> bySecond;
    std::vector<Duration> times;
    std::array<std::uint64_t, static_cast<std::size_t>(Promise::Count)> brokenCounts{};
    std::vector<std::string> texts;
    std::map<std::string, double> imbalance;
    std::map<std::string, std::uint64_t> counters;
};

} // namespace bulrushgap::simulation

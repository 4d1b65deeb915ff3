#pragma once

#include "base/Counters.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>

namespace bulrushgap {

struct OutlierSettings
{
    int missLimit = 3; //!< Consecutive missed deadlines after which an upstream is ejected.
    Duration probeInterval{1'000'000};
    /** \brief Additional probe intervals before a non-idempotent request may serve as a probe. */
    int nonIdempotentProbeFactor = 5;
};

struct ObservedUpstream
{
    UpstreamId id;
    DomainId domain;
    bool ejectedByPlan = false;
};

/** \brief Ejects upstreams of one service that stop answering, and schedules probes of them.
 *
 * At most a third of the upstreams of the service, rounded down but at least one, is ejected: one
 * of 4, four of 14. The only upstream of a service is never ejected.
 */
class OutlierDetector
{
public:
    OutlierDetector(const OutlierSettings &settings, Counters &counters)
        : settings(settings)
        , counters(counters)
    {}

    /** \brief Sets the upstreams that this instance sends to; keeps the state of known ones.
     *
     * \param serviceSize number of all upstreams of the service
     * \param ejectedElsewhere number of upstreams that the plan marks as ejected and that other
     * instances own */
    void setUpstreams(std::span<const ObservedUpstream> upstreams, std::size_t serviceSize,
                      std::size_t ejectedElsewhere);

    void onAnswer(UpstreamId id);
    void onMissedDeadline(UpstreamId id, TimePoint now);
    void onProbe(UpstreamId id, TimePoint now);

    [[nodiscard]] bool ejected(UpstreamId id) const;

    /** \returns whether the upstream has missed a deadline since its last answer. */
    [[nodiscard]] bool suspect(UpstreamId id) const;

    /** \returns whether a request may be sent to the ejected upstream now. */
    [[nodiscard]] bool probeDue(UpstreamId id, bool idempotent, TimePoint now) const;

private:
    struct State
    {
        DomainId domain;
        int misses = 0;
        bool ejected = false;
        TimePoint nextProbe;
    };

    [[nodiscard]] std::size_t ejectionLimit() const;
    [[nodiscard]] std::size_t ejectedCount() const;
    [[nodiscard]] bool wholeDomainFailing(DomainId domain) const;

    OutlierSettings settings;
    Counters &counters;
    std::map<UpstreamId, State> states;
    std::size_t serviceSize = 0;
    std::size_t ejectedElsewhere = 0;
};

} // namespace bulrushgap

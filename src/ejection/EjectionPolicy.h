#pragma once

#include "base/Counters.h"
#include "directory/UpstreamDirectory.h"
#include "ejection/EjectionChange.h"
#include "ejection/OutcomeWindow.h"
#include "outcome/RequestOutcome.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace bulrushgap::balance {

/** \brief Callbacks of EjectionPolicy. */
struct EjectionHooks
{
    std::function<void(const EjectionChange &change)> onChange;

    /** \returns how many instances place the trials of an upstream before this one does. */
    std::function<unsigned(std::string_view upstream)> trialRank;

    /** Sends the outcomes of an upstream since the last call to the other instances. */
    std::function<void(UpstreamIndex upstream, const OutcomeCounts &counts)> report;
};

/** \brief Ejects upstreams whose requests fail although their connections work.
 *
 * An upstream is ejected if at least two requests of the last 3 s have failed, at least one in ten,
 * and at least three times the share of the service's other upstreams. After a delay it receives
 * flows on trial, one at a time; three answers in a row end the ejection, a failure starts it again
 * with twice the delay. An upstream that restarted begins without a record.
 */
class EjectionPolicy
{
public:
    EjectionPolicy(UpstreamDirectory &directory, Counters &counters, EjectionHooks hooks);

    /** \brief Adds the outcome of a request that this instance observed. */
    void observe(const RequestObservation &observation, TimePoint now);

    /** \brief Adds outcomes that another instance of the domain observed. */
    void addReported(UpstreamIndex upstream, const OutcomeCounts &counts, TimePoint now);

    /** \brief Ejects an upstream for the rest of a delay that another instance has started. */
    void adopt(UpstreamIndex upstream, Duration delay, TimePoint now);

    /** \brief Ends an ejection because trials of another instance succeeded. */
    void onReportedReturn(UpstreamIndex upstream, TimePoint now);

    /** \brief Calls \a visit with each ejected upstream and the rest of its delay, 1 ms at least.
     */
    void visitEjected(const std::function<void(UpstreamIndex upstream, Duration delay)> &visit,
                      TimePoint now) const;

    /** \brief Records that placement has placed a flow on trial. */
    void onTrialPlaced(UpstreamIndex upstream);

    /** \brief Discards the record of an upstream that restarted or left. */
    void forget(UpstreamIndex upstream);

    /** \brief Sets how many instances share the requests of a failure domain. */
    void setInstancesPerDomain(unsigned instances) { this->instancesPerDomain = instances; }

    /** \returns the number of upstreams of all services that are ejected. */
    [[nodiscard]] std::size_t ejectedCount() const;

private:
    /** \brief Record of one upstream. */
    struct State
    {
        OutcomeWindow own;
        OutcomeWindow reported;
        TimePoint delayEnd{};         //!< End of the delay of the last ejection.
        unsigned level = 0;           //!< Consecutive ejections within 30 s; doubles the delay.
        std::uint32_t unreported = 0; //!< Requests since the last call of EjectionHooks::report.
        TimePoint failingSince{};     //!< First failure after a window without any.
        TimePoint failedAt{};         //!< Last failure.
        bool onTrial = false;         //!< This instance has placed a flow on trial.
        unsigned answers = 0;         //!< Answers in a row after the delay.
    };

    /** \brief The other upstreams of the service of one upstream, without ejected ones. */
    struct ServiceView
    {
        OutcomeCounts own;          //!< Requests that this instance observed.
        double requestsOfOne = 0.0; //!< Requests of this instance to each upstream of its domain.
        std::size_t ejected = 0;    //!< Ejected upstreams of the service, the given one included.
        std::size_t limit = 0;      //!< How many of the service may be ejected.

        /** \returns the failed share, rounded up while few requests are known. */
        [[nodiscard]] double cautiousShare() const;

        /** \returns the failed share; 0 without requests. */
        [[nodiscard]] double share() const;

        /** \returns whether so many requests fail that no upstream stands out from the others. */
        [[nodiscard]] bool failsAsWhole() const;
    };

    [[nodiscard]] State &stateOf(UpstreamIndex upstream);
    [[nodiscard]] ServiceView serviceOf(UpstreamIndex upstream, TimePoint now);
    void recordFailure(UpstreamIndex upstream, TimePoint now);
    void reportOwn(UpstreamIndex upstream, bool failed, TimePoint now);
    void observeEjected(UpstreamIndex upstream, bool failed, TimePoint now);
    void evaluate(UpstreamIndex upstream, TimePoint now);
    void eject(UpstreamIndex upstream, EjectionChange change, TimePoint now);
    void startDelay(UpstreamIndex upstream, Duration delay, EjectionChange change, TimePoint now);
    void reinstate(UpstreamIndex upstream, EjectionEvidence evidence, TimePoint now);
    void reinstateExpired(std::string_view service, TimePoint now);
    void reinstateService(std::string_view service, TimePoint now);

    UpstreamDirectory &directory;
    Counters &counters;
    EjectionHooks hooks;
    std::vector<State> states; //!< By UpstreamIndex.
    unsigned instancesPerDomain = 1;
};

} // namespace bulrushgap::balance

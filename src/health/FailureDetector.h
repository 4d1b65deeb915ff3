#pragma once

#include "base/Time.h"
#include "directory/Upstream.h"
#include "directory/UpstreamDirectory.h"
#include "health/UpstreamHealth.h"

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace bulrushgap::balance {

/** \brief What the failure detection asks of its surroundings. */
struct FailureDetectorHooks
{
    /** Probes an upstream with a connection; the result goes to FailureDetector::probed. */
    std::function<void(UpstreamIndex upstream)> startProbe;

    /** The same for an upstream that is believed alive; goes to FailureDetector::witnessed. */
    std::function<void(UpstreamIndex upstream)> startWitness;

    /** The belief about an upstream has changed. */
    std::function<void(UpstreamIndex upstream, Liveness before, std::string_view evidence)>
        onBelief;

    /** Nothing that is sent to the upstream can have an answer. */
    std::function<void(UpstreamIndex upstream)> onProvenDead;
};

/** \brief Watches the upstreams that owe an answer, and probes those in doubt.
 *
 * Answers upstreams that die without notice: only those with an answer due are looked at, so the
 * cost does not grow with the number of upstreams. Answers instances whose own link is full or that
 * run too slowly to see answers in time, too: a probe without an answer proves something only if
 * another upstream, the witness, was reached meanwhile. No input or output of its own.
 * \sa UpstreamHealth
 */
class FailureDetector
{
public:
    FailureDetector(UpstreamDirectory &directory, FailureDetectorHooks hooks);

    /** \brief Something was sent to the upstream that it must answer \a within this time. */
    void expectAnswer(UpstreamIndex upstream, TimePoint now, Duration within);

    /** \brief A caller has acknowledged something that the upstream sent a moment ago. */
    void answered(UpstreamIndex upstream, TimePoint now);

    /** \brief There is evidence other than an overdue answer that the upstream does not answer. */
    void suspect(UpstreamIndex upstream, std::string_view evidence, TimePoint now);

    void probed(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt, TimePoint now);

    /** \brief A witness that was probed at \a startedAt was reached. */
    void witnessed(TimePoint startedAt, TimePoint now);

    /** \brief Checks overdue answers and starts probes that are due. */
    void tick(TimePoint now);

    /** \returns when tick must be called next, or nothing while no answer is awaited. */
    [[nodiscard]] std::optional<TimePoint> nextTick() const { return this->checkAt; }

private:
    void check(UpstreamIndex upstream, TimePoint now);
    void startProbe(UpstreamIndex upstream, TimePoint now);
    void probeWitness(UpstreamIndex subject, TimePoint now);
    [[nodiscard]] UpstreamIndex chooseWitness(UpstreamIndex subject);
    void believe(UpstreamIndex upstream, Liveness before, std::string_view evidence, TimePoint now);
    void excuseAfterPause(TimePoint now);
    void watch(UpstreamIndex upstream);
    void schedule(TimePoint at);

    UpstreamDirectory &directory;
    FailureDetectorHooks hooks;
    std::vector<UpstreamIndex> watched; //!< Upstreams with an answer due or in doubt.
    std::vector<UpstreamIndex> checked; //!< Buffer of tick.
    std::optional<TimePoint> checkAt;
    UpstreamIndex nextWitness = 0;  //!< Where the search for a witness goes on.
    TimePoint witnessStartedAt{};   //!< Last probe of a witness.
    TimePoint lastConnectedProbe{}; //!< Start of the latest probe that was answered.
    TimePoint lastSignOfLife{};     //!< Of any upstream.
};

} // namespace bulrushgap::balance

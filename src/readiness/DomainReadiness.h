#pragma once

#include "base/Counters.h"
#include "base/Scheduler.h"
#include "readiness/DomainUpstreams.h"
#include "readiness/PeerRotation.h"
#include "service/Log.h"
#include "view/Member.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace bulrushgap::balance {

/** \brief State of upstreams and view from which DomainReadiness decides. */
struct ReadinessFacts
{
    DomainSupply supply = DomainSupply::Own;
    TimePoint lastAnswerElsewhere{};       //!< Last answer of an upstream of another domain.
    std::optional<TimePoint> sourceLostAt; //!< Set while the view's source does not respond.
};

/** \brief Callbacks of DomainReadiness. */
struct DomainReadinessHooks
{
    using ConnectHandler = std::function<void(bool connected)>;

    /** Connects to an instance with a timeout of 110 ms; calls the handler asynchronously. */
    std::function<void(Endpoint peer, ConnectHandler handler)> connect;

    /** \returns the present state of upstreams and view. */
    std::function<ReadinessFacts()> facts;

    /** \returns the known other instances. */
    std::function<std::span<const Member>()> instances;
};

/** \brief Takes this instance out of rotation while its failure domain can serve nothing.
 *
 * That is so while no upstream of the own domain may take new flows and two rounds of connections
 * to instances of other domains have failed. All instances of the domain observe the same, so the
 * routers find none ready and send the domain's callers to other domains. Performs no I/O.
 *
 * Rounds start when something suggests a partition. In a domain whose own upstreams are all
 * unusable, an instance without answers from other domains connects to a single instance instead,
 * so that one with little traffic reaches the same verdict; a failure counts as suspicion.
 */
class DomainReadiness
{
public:
    DomainReadiness(const Scheduler &scheduler, const Member &self, Counters &counters, Log &log,
                    DomainReadinessHooks hooks);

    /** \brief The instance has its view. If its domain has no usable upstream, it enters rotation
     * only once another domain was reached: a single restarted instance in rotation would bring all
     * callers of a domain back that has withdrawn. */
    void start();

    /** \brief The instance stops: ends all rounds. */
    void stop();

    /** \brief The view, its source or the liveness of an upstream has changed. */
    void onChange();

    /** \brief An upstream of another domain has become suspect, or a worse state. */
    void onSuspicion();

    /** \returns whether the instance has left rotation. */
    [[nodiscard]] bool isWithdrawn() const { return this->withdrawnAt.has_value(); }

    /** \returns whether a starting instance waits for the result of its first rounds. */
    [[nodiscard]] bool isStarting() const { return this->startPending; }

private:
    /** \brief Concurrent connections to instances of other domains. */
    struct Round
    {
        std::uint64_t number = 0;
        TimePoint startedAt{};
        std::size_t pending = 0;
        bool isSingleCheck = false; //!< Started without a suspicion; connects to one instance.
    };

    void evaluate();
    void evaluateInRotation(const ReadinessFacts &facts, TimePoint now);
    void evaluateWithdrawn(const ReadinessFacts &facts, TimePoint now);
    void discardAfterPause(TimePoint now);
    void clearRefuted(const ReadinessFacts &facts);
    [[nodiscard]] std::optional<TimePoint> nextRoundAt(const ReadinessFacts &facts,
                                                       TimePoint now) const;
    [[nodiscard]] std::optional<TimePoint> singleCheckAt(const ReadinessFacts &facts) const;
    void startRound(TimePoint now);
    void startSingleCheck(TimePoint now);
    void connect(std::span<const Endpoint> peers, bool isSingleCheck, TimePoint now);
    void onResult(std::uint64_t number, bool connected);
    void onReached(TimePoint now);
    void onRoundFailed(TimePoint now);
    void abandonRounds();
    void withdraw(DomainSupply supply, TimePoint now);
    void returnToRotation(std::string_view reason, std::size_t reached, TimePoint now);
    void report(std::string_view outcome, std::string_view reason, std::size_t reached);
    void schedule(TimePoint at, TimePoint now);
    void cancelTimer();

    const Scheduler &scheduler;
    Counters &counters;
    Log &log;
    DomainReadinessHooks hooks;
    PeerRotation rotation;
    std::optional<Round> round;
    std::uint64_t lastRound = 0; //!< Number of the last round or single check.
    unsigned failedRounds = 0;   //!< Consecutive failed rounds.
    bool unresolved = false;     //!< A round was discarded, or the other domains are still cut off.
    std::size_t connectionsStarted = 0; //!< Connections since the last success or log line.
    TimePoint lastRoundAt{};
    TimePoint reachedAt{}; //!< Last connection to an instance of another domain.
    std::optional<TimePoint> suspectedAt;
    std::optional<TimePoint> withdrawnAt; //!< Set while out of rotation.
    TimePoint holdUntil{};                //!< No withdrawal before.
    std::optional<TimePoint> dueAt;       //!< When the timer expires; set while it runs.
    Scheduler::Timer timer;
    bool startPending = false; //!< Not in rotation until the first rounds have ended.
    bool active = false;
};

} // namespace bulrushgap::balance

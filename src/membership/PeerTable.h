#pragma once

#include "base/Counters.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "message/PeerMessage.h"
#include "plan/Planner.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief State of one peer. */
struct Peer
{
    Hello hello;
    TimePoint lastMessage;              //!< Time of the last message of any kind.
    std::optional<Heartbeat> heartbeat; //!< Latest one of the current boot.
    bool reportedDead = false;
};

/** \brief How far an instance is with a plan. */
enum class PlanProgress : std::uint8_t {
    InForce,
    Preparing, //!< Has received the plan; the transition has not ended.
    Behind,    //!< Has not reported that it has received the plan.
    Silent,    //!< No message within the peer timeout.
    Unknown,   //!< In the plan, but has never sent a message.
};

[[nodiscard]] std::string_view toString(PlanProgress progress);

struct InstanceProgress
{
    std::string instance;
    PlanId inForce;
    PlanProgress progress = PlanProgress::Unknown;

    friend bool operator==(const InstanceProgress &, const InstanceProgress &) = default;
};

/** \brief The peers of this instance by name, with their liveness and plan ids.
 *
 * A peer is alive if a message of any kind was received within the peer timeout. Counters:
 * peer_restarted, peer_dead, peer_returned.
 */
class PeerTable
{
public:
    static constexpr Duration defaultTimeout = std::chrono::seconds(1);
    /** \brief Time without a message after which a peer is removed. */
    static constexpr Duration retention = std::chrono::minutes(10);

    enum class HelloResult : std::uint8_t {
        New,
        Known,
        Restarted, //!< The boot id has changed; state of the earlier boot is discarded.
    };

    explicit PeerTable(Counters &counters, Duration timeout = defaultTimeout)
        : counters(counters)
        , timeout(timeout)
    {}

    HelloResult onHello(const Hello &hello, TimePoint now);

    /** \brief Records a message of any kind; ignored before the peer's Hello. */
    void onMessage(std::string_view name, TimePoint now);
    void onHeartbeat(std::string_view name, const Heartbeat &heartbeat, TimePoint now);

    /** \brief Sets the plan that maps names to ids. */
    void onPlan(const Plan &plan);

    [[nodiscard]] bool isLive(std::string_view name, TimePoint now) const;
    [[nodiscard]] bool isLive(InstanceId id, TimePoint now) const;

    /** \returns the live peers as input of the planner, sorted by name; without this instance. */
    [[nodiscard]] std::vector<LiveInstance> livePeers(TimePoint now) const;

    /** \returns the peers that timed out since the last call; each timeout is reported once. */
    [[nodiscard]] std::vector<std::string> takeDeadPeers(TimePoint now);

    /** \returns the names of the failure domains that have a live peer. */
    [[nodiscard]] std::vector<std::string> reachableDomains(TimePoint now) const;

    /** \returns how far each other instance of the last plan is with \a plan or a newer one. */
    [[nodiscard]] std::vector<InstanceProgress> convergence(PlanId plan, std::string_view self,
                                                            TimePoint now) const;

    /** \returns the greatest plan id that a live peer has reported. */
    [[nodiscard]] PlanId newestPlan(TimePoint now) const;

    /** \returns the peer, or nullptr. */
    [[nodiscard]] const Peer *find(std::string_view name) const;
    [[nodiscard]] const Peer *find(InstanceId id) const;

    /** \returns the id of the instance in the last plan, or nothing. */
    [[nodiscard]] std::optional<InstanceId> idOf(std::string_view name) const;
    /** \returns the name of the instance in the last plan; empty if it has none. */
    [[nodiscard]] std::string_view nameOf(InstanceId id) const;

private:
    [[nodiscard]] bool isAlive(const Peer &peer, TimePoint now) const
    {
        return now - peer.lastMessage < this->timeout;
    }
    void touch(Peer &peer, TimePoint now);

    Counters &counters;
    Duration timeout;
    std::map<std::string, Peer, std::less<>> peers;
    std::map<InstanceId, std::string> names;
    std::map<std::string, InstanceId, std::less<>> ids;
};

} // namespace bulrushgap

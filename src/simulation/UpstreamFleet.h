#pragma once

#include "simulation/RunSettings.h"
#include "simulation/Surroundings.h"
#include "simulation/UpstreamModel.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushgap::simulation {

/** \brief An upstream of a run, alive or gone, with what the checks have to know of it. */
struct FleetMember
{
    balance::UpstreamEntry entry;
    std::unique_ptr<UpstreamModel> model; //!< Nothing while its process does not run.
    std::uint64_t incarnation = 0;
    bool ending = false;                     //!< It drains and will not come back.
    std::optional<TimePoint> leavingAckedAt; //!< When the store took note that it leaves.
    TimePoint disturbedUntil{};              //!< It, or its links, were last disturbed then.

    [[nodiscard]] Place place() const
    {
        return {Place::Role::Upstream, this->entry.domain, this->entry.name};
    }
};

/** \brief The upstreams of a run: registration, leases, starts, drains, crashes, address reuse. */
class UpstreamFleet
{
public:
    /** \returns the hooks of a new process; \a number is the fleet member's. */
    using HookFactory = std::function<UpstreamModelHooks(std::size_t number)>;

    UpstreamFleet(Surroundings &surroundings, const RunSettings &settings, HookFactory hooks);

    /** \brief Starts a new upstream. \param address of one that is gone, or nothing for a new one.
     * \returns its number. */
    std::size_t add(const std::string &service, const std::string &domain, bool cold,
                    std::optional<Endpoint> address = std::nullopt);

    /** \brief Its process dies; the lease of its entry runs out. */
    void crash(std::size_t number);

    /** \brief Its process starts again under the same name. */
    void restart(std::size_t number);

    /** \brief It announces that it leaves, serves on for a while, then ends. */
    void drain(std::size_t number);

    /** \brief Renews the leases of all that live; entries of others run out. */
    void startRegistry();

    /** \brief The store is away: entries lapse, and come back after its return. */
    void setRegistryAway(bool away, bool entriesLapse);

    /** \brief The registry has returned from a copy: who lives renews its entry, others expire. */
    void onRegistryRestored();

    /** \returns the latest upstream at an address, alive or not. */
    [[nodiscard]] std::optional<std::size_t> ownerOf(Endpoint address) const;

    [[nodiscard]] FleetMember &member(std::size_t number) { return this->members.at(number); }
    [[nodiscard]] const FleetMember &member(std::size_t number) const
    {
        return this->members.at(number);
    }
    [[nodiscard]] std::size_t size() const { return this->members.size(); }

    /** \returns the numbers of those of a service that run and do not leave; all services if empty.
     */
    [[nodiscard]] std::vector<std::size_t> serving(const std::string &service) const;

private:
    void launch(std::size_t number, bool cold);
    [[nodiscard]] UpstreamLimits limitsOf(const std::string &service) const;
    void enter(std::size_t number);
    void renewLeases();

    Surroundings &surroundings;
    const RunSettings &settings;
    HookFactory hooks;
    std::vector<FleetMember> members;
    std::map<Endpoint, std::size_t> byAddress; //!< Latest owner of each address.
    std::map<std::size_t, TimePoint> renewedAt;
    Scheduler::Timer leaseTimer;
    std::vector<Scheduler::Timer> pending;
    std::uint32_t nextAddress = 0x0a40'0001;
    bool away = false;
    bool lapse = false;
};

} // namespace bulrushgap::simulation

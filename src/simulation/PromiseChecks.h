#pragma once

#include "directory/Configuration.h"
#include "simulation/RunReport.h"
#include "simulation/RunSettings.h"
#include "simulation/UpstreamFleet.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bulrushgap::simulation {

/** \brief When the parts of a run were last disturbed; promises with a time hold for the others. */
class Disturbances
{
public:
    explicit Disturbances(const RunBounds &bounds)
        : bounds(bounds)
    {}

    /** \brief An instance is disturbed until \a until. */
    void instance(const std::string &name, TimePoint until)
    {
        extend(this->instances[name], until);
    }
    void store(TimePoint until) { extend(this->storeUntil, until); }

    /** \returns whether an instance, and the store, were undisturbed for long enough before \a now.
     */
    [[nodiscard]] bool inTouch(const std::string &instance, TimePoint now) const;

private:
    static void extend(TimePoint &end, TimePoint until) { end = std::max(end, until); }

    const RunBounds &bounds;
    std::map<std::string, TimePoint, std::less<>> instances;
    TimePoint storeUntil{};
};

/** \brief A packet on its way, as the checks know it. */
struct Transit
{
    std::string instance; //!< That passed it on.
    TimePoint sentAt;     //!< By its caller.
};

/** \brief Checks what the load balancer promises from what callers and upstreams see. */
class PromiseChecks
{
public:
    using BrokenHandler = std::function<void(Promise promise, const std::string &what)>;

    PromiseChecks(const RunSettings &settings, const UpstreamFleet &fleet, BrokenHandler onBroken);

    [[nodiscard]] Disturbances &disturbances() { return this->touch; }

    /** \brief The store has accepted a configuration. */
    void configured(std::shared_ptr<const balance::Configuration> configuration, TimePoint now);

    /** \brief The store has accepted an evacuation, or its end. */
    void evacuated(const std::string &domain, bool isEvacuated, TimePoint now);

    /** \brief A SYN opened a handshake at an upstream. */
    void onSyn(std::size_t upstream, const WirePacket &packet, const Transit &transit,
               TimePoint now);

    /** \brief Any packet arrived at an upstream. */
    void onPacket(std::size_t upstream, const WirePacket &packet, bool known,
                  const Transit &transit, TimePoint now);

    void onRun(const HttpRequest &request, bool repeatable);

    /** \brief A caller got a reset that an instance wrote.
     * \param opened whether an upstream had taken the flow, at \a openedAt */
    void onForeignReset(Endpoint caller, Endpoint route, bool opened, TimePoint openedAt,
                        const std::string &instance, TimePoint now);

    /** \brief An instance refused a SYN because it knows no such route. */
    void onUnrouted(Endpoint route, const Transit &transit, TimePoint now);

private:
    struct Version
    {
        std::shared_ptr<const balance::Configuration> configuration;
        TimePoint ackedAt;
    };

    struct FlowKey
    {
        Endpoint caller;
        Endpoint route;

        friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
    };

    struct Stray
    {
        TimePoint since;
        unsigned packets = 0;
        TimePoint last;
    };

    void broken(Promise promise, const std::string &what) { this->report(promise, what); }
    [[nodiscard]] static bool hasRoute(const balance::Configuration &configuration, Endpoint route);
    [[nodiscard]] static bool allows(const balance::Configuration &configuration, Endpoint route,
                                     const std::string &service);
    [[nodiscard]] std::vector<const Version *> versionsInForce(TimePoint sentAt) const;
    [[nodiscard]] std::optional<std::size_t> holderOf(const FlowKey &flow) const;
    void checkLeaving(std::size_t upstream, const Transit &transit, TimePoint now);
    void checkEvacuated(std::size_t upstream, const Transit &transit, TimePoint now);
    void checkCold(std::size_t upstream, TimePoint now);

    const RunSettings &settings;
    const UpstreamFleet &fleet;
    BrokenHandler report;
    Disturbances touch;
    std::vector<Version> versions;
    std::set<std::pair<Endpoint, std::string>> everServed; //!< Route and service.
    std::map<std::string, TimePoint, std::less<>> evacuations;
    std::map<std::size_t, std::deque<TimePoint>> coldSyns;
    std::map<FlowKey, Stray> strays;
    std::map<std::string, unsigned> runs; //!< Of requests that must run once.
};

} // namespace bulrushgap::simulation

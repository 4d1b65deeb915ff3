#include "simulation/PromiseChecks.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr unsigned strayPackets = 3; //!< That reach other upstreams before a flow counts as lost.

std::string flowText(Endpoint caller, Endpoint route)
{
    return caller.toString() + '>' + route.toString();
}

} // namespace internal

bool Disturbances::inTouch(const std::string &instance, TimePoint now) const
{
    if (now - this->storeUntil < this->bounds.inTouch)
        return false;
    const auto found = this->instances.find(instance);
    return found == this->instances.end() || now - found->second >= this->bounds.inTouch;
}

PromiseChecks::PromiseChecks(const RunSettings &settings, const UpstreamFleet &fleet,
                             BrokenHandler onBroken)
    : settings(settings)
    , fleet(fleet)
    , report(std::move(onBroken))
    , touch(settings.bounds)
{}

void PromiseChecks::configured(std::shared_ptr<const balance::Configuration> configuration,
                               TimePoint now)
{
    for (const balance::Route &route : configuration->routes) {
        for (const balance::ServiceShare &share : route.services)
            this->everServed.emplace(route.address, share.service);
    }
    this->versions.push_back({std::move(configuration), now});
}

void PromiseChecks::evacuated(const std::string &domain, bool isEvacuated, TimePoint now)
{
    if (isEvacuated)
        this->evacuations[domain] = now;
    else
        this->evacuations.erase(domain);
}

bool PromiseChecks::hasRoute(const balance::Configuration &configuration, Endpoint route)
{
    return std::ranges::find(configuration.routes, route, &balance::Route::address)
           != configuration.routes.end();
}

bool PromiseChecks::allows(const balance::Configuration &configuration, Endpoint route,
                           const std::string &service)
{
    return std::ranges::any_of(configuration.routes, [&](const balance::Route &each) {
        return each.address == route
               && std::ranges::find(each.services, service, &balance::ServiceShare::service)
                      != each.services.end();
    });
}

std::vector<const PromiseChecks::Version *> PromiseChecks::versionsInForce(TimePoint sentAt) const
{
    // The newest one that must be in force for a packet sent then, and all later ones.
    std::vector<const Version *> result;
    for (auto version = this->versions.rbegin(); version != this->versions.rend(); ++version) {
        result.push_back(&*version);
        if (version->ackedAt + this->settings.bounds.configuration <= sentAt)
            break;
    }
    return result;
}

void PromiseChecks::onSyn(std::size_t upstream, const WirePacket &packet, const Transit &transit,
                          TimePoint now)
{
    const balance::UpstreamEntry &entry = this->fleet.member(upstream).entry;
    if (!this->everServed.contains({packet.destination, entry.service}))
        this->broken(Promise::RightService,
                     packet.destination.toString() + " reached a service " + entry.service);
    const auto versions = this->versionsInForce(transit.sentAt);
    const bool allowed = std::ranges::any_of(versions, [&](const Version *version) {
        return allows(*version->configuration, packet.destination, entry.service);
    });
    if (!allowed && this->touch.inTouch(transit.instance, now))
        this->broken(Promise::RouteInForce, transit.instance + " opened a flow to " + entry.name
                                                + " against the configuration");
    this->checkLeaving(upstream, transit, now);
    this->checkEvacuated(upstream, transit, now);
    this->checkCold(upstream, now);
}

void PromiseChecks::checkLeaving(std::size_t upstream, const Transit &transit, TimePoint now)
{
    const FleetMember &member = this->fleet.member(upstream);
    if (!member.leavingAckedAt || !this->touch.inTouch(transit.instance, now))
        return;
    if (now > *member.leavingAckedAt + this->settings.bounds.drain)
        this->broken(Promise::NoFlowsToLeaving,
                     transit.instance + " sent a flow to " + member.entry.name);
}

void PromiseChecks::checkEvacuated(std::size_t upstream, const Transit &transit, TimePoint now)
{
    const balance::UpstreamEntry &entry = this->fleet.member(upstream).entry;
    const auto found = this->evacuations.find(entry.domain);
    if (found == this->evacuations.end() || !this->touch.inTouch(transit.instance, now))
        return;
    if (now > found->second + this->settings.bounds.evacuation)
        this->broken(Promise::NoFlowsToEvacuated,
                     transit.instance + " sent a flow to " + entry.name + " in " + entry.domain);
}

void PromiseChecks::checkCold(std::size_t upstream, TimePoint now)
{
    const FleetMember &member = this->fleet.member(upstream);
    const auto service
        = std::ranges::find(this->settings.services, member.entry.service, &ServiceSettings::name);
    if (service == this->settings.services.end() || service->coldRequestsPerSecond <= 0
        || !member.model || !member.model->isCold())
        return;
    std::deque<TimePoint> &recent = this->coldSyns[upstream];
    recent.push_back(now);
    while (now - recent.front() > std::chrono::seconds(1))
        recent.pop_front();
    const RunBounds &bounds = this->settings.bounds;
    const double most = service->coldRequestsPerSecond * bounds.coldOvershoot + bounds.coldSlack;
    if (static_cast<double>(recent.size()) > most)
        this->broken(Promise::ColdRate,
                     member.entry.name + " got " + std::to_string(recent.size()) + " flows in 1 s");
}

std::optional<std::size_t> PromiseChecks::holderOf(const FlowKey &flow) const
{
    for (std::size_t number = 0; number < this->fleet.size(); ++number) {
        const FleetMember &member = this->fleet.member(number);
        if (member.model && member.model->holds(flow.caller, flow.route))
            return number;
    }
    return std::nullopt;
}

void PromiseChecks::onPacket(std::size_t upstream, const WirePacket &packet, bool known,
                             const Transit &transit, TimePoint now)
{
    if (!packet.isSealed())
        this->broken(Promise::PacketUnchanged, "an upstream got a packet that was changed");
    const FlowKey flow{packet.source, packet.destination};
    if (known || packet.syn || packet.rst) {
        this->strays.erase(flow);
        return;
    }
    const auto holder = this->holderOf(flow);
    if (!holder || *holder == upstream)
        return;
    const FleetMember &member = this->fleet.member(*holder);
    const bool undisturbed = now - member.disturbedUntil >= this->settings.bounds.inTouch;
    if (!undisturbed || !this->touch.inTouch(transit.instance, now)) {
        this->strays.erase(flow);
        return;
    }
    const auto [place, first] = this->strays.try_emplace(flow, Stray{now, 0, now});
    Stray &stray = place->second;
    ++stray.packets;
    stray.last = now;
    const bool lost = stray.packets >= internal::strayPackets
                      && now - stray.since >= this->settings.bounds.flowStray;
    if (lost)
        this->broken(Promise::FlowsStay, internal::flowText(flow.caller, flow.route) + " reaches "
                                             + this->fleet.member(upstream).entry.name
                                             + " instead of " + member.entry.name);
}

void PromiseChecks::onRun(const HttpRequest &request, bool repeatable)
{
    if (repeatable)
        return;
    const std::string name = request.id.substr(0, request.id.rfind('.'));
    if (++this->runs[name] == 2)
        this->broken(Promise::RunOnce, name + " ran twice");
}

void PromiseChecks::onForeignReset(Endpoint caller, Endpoint route, bool opened, TimePoint openedAt,
                                   const std::string &instance, TimePoint now)
{
    if (!opened || now - openedAt > this->settings.bounds.flowLifetime)
        return;
    const auto holder = this->holderOf({caller, route});
    if (!holder)
        return;
    const FleetMember &member = this->fleet.member(*holder);
    // A version that drops the route may have come into force just after the flow was opened.
    const TimePoint oldest = openedAt - this->settings.bounds.configuration;
    const bool routeKept = std::ranges::all_of(this->versions, [&](const Version &version) {
        return version.ackedAt < oldest || hasRoute(*version.configuration, route);
    });
    const bool undisturbed = now - member.disturbedUntil >= this->settings.bounds.inTouch;
    if (routeKept && undisturbed && this->touch.inTouch(instance, now))
        this->broken(Promise::NoFalseReset, instance + " reset " + internal::flowText(caller, route)
                                                + " while " + member.entry.name + " serves it");
}

void PromiseChecks::onUnrouted(Endpoint route, const Transit &transit, TimePoint now)
{
    const auto versions = this->versionsInForce(transit.sentAt);
    const bool present = std::ranges::all_of(
        versions, [&](const Version *version) { return hasRoute(*version->configuration, route); });
    if (present && !versions.empty() && this->touch.inTouch(transit.instance, now))
        this->broken(Promise::RouteInForce,
                     transit.instance + " knows no route " + route.toString());
}

} // namespace bulrushgap::simulation

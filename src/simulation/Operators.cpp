#include "simulation/Operators.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

/** Until operators have noticed that the store has lost what they wrote. */
constexpr Duration writeAgainDelay = std::chrono::seconds(1);
constexpr Duration operatorRetryInterval = std::chrono::milliseconds(200);

constexpr std::uint32_t firstIdleRoute = 0xc633'0000; // 198.51.0.0

} // namespace internal

Operators::Operators(Surroundings &surroundings, const RunSettings &settings, PromiseChecks &checks)
    : surroundings(surroundings)
    , settings(settings)
    , checks(checks)
{}

void Operators::setLastRouteDropped(bool dropped)
{
    this->lastRouteDropped = dropped;
    this->publish();
}

void Operators::setLastRouteMoved(bool moved)
{
    this->lastRouteMoved = moved;
    this->publish();
}

void Operators::publish()
{
    ++this->version;
    const auto next = std::make_shared<const balance::Configuration>(this->configuration());
    this->whenServed([this, next] {
        this->surroundings.store.put(ViewKind::Configurations, "routes", next);
        this->checks.configured(next, this->surroundings.loop.now());
    });
}

void Operators::evacuate(const std::string &domain, bool evacuated)
{
    this->evacuations[domain] = evacuated;
    this->whenServed([this, domain, evacuated] {
        this->writeEvacuation(domain, evacuated);
        this->checks.evacuated(domain, evacuated, this->surroundings.loop.now());
    });
}

void Operators::writeEvacuation(const std::string &domain, bool evacuated)
{
    if (evacuated)
        this->surroundings.store.put(ViewKind::Evacuations, domain, balance::Evacuation{});
    else
        this->surroundings.store.remove(ViewKind::Evacuations, domain);
}

void Operators::writeAgain()
{
    const auto write = [this] {
        this->surroundings.store.put(
            ViewKind::Configurations, "routes",
            std::make_shared<const balance::Configuration>(this->configuration()));
        for (const auto &[domain, evacuated] : this->evacuations)
            this->writeEvacuation(domain, evacuated);
    };
    this->writeAgainTimer = this->surroundings.scheduler.after(
        internal::writeAgainDelay, [this, write] { this->whenServed(write); });
}

void Operators::whenServed(std::function<void()> write)
{
    this->waiting.push_back(std::move(write));
    this->writeWaiting();
}

void Operators::writeWaiting()
{
    if (this->surroundings.storeFaults.modeFor("operators") != StoreMode::Serving) {
        this->retryTimer = this->surroundings.scheduler.after(internal::operatorRetryInterval,
                                                              [this] { this->writeWaiting(); });
        return;
    }
    for (const auto &each : std::exchange(this->waiting, {}))
        each();
}

std::string Operators::otherService(const std::string &service) const
{
    const auto other = std::ranges::find_if(
        this->settings.services, [&](const ServiceSettings &each) { return each.name != service; });
    return other == this->settings.services.end() ? service : other->name;
}

balance::Configuration Operators::configuration() const
{
    balance::Configuration result;
    result.version = this->version;
    result.idleTimeout = this->settings.bounds.flowLifetime;
    for (const RequestClass &each : this->settings.classes) {
        const bool known = std::ranges::find(result.routes, each.route, &balance::Route::address)
                           != result.routes.end();
        const bool isLast = &each == &this->settings.classes.back();
        if (known || (isLast && this->lastRouteDropped))
            continue;
        const bool moved = isLast && this->lastRouteMoved;
        const std::string service = moved ? this->otherService(each.service) : each.service;
        result.routes.push_back({each.name, each.route, {{service, 1}}, each.kind});
    }
    for (unsigned number = 0; number < this->settings.idleRoutes; ++number) {
        result.routes.push_back({"idle-" + std::to_string(number),
                                 {internal::firstIdleRoute + number, 80},
                                 {{this->settings.services.front().name, 1}}});
    }
    for (const ServiceSettings &each : this->settings.services)
        result.services.push_back(
            {each.name, UpstreamLimits{}.coldTime, each.coldRequestsPerSecond, 0});
    return result;
}

} // namespace bulrushgap::simulation

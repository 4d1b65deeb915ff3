#include "simulation/FaultContext.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace bulrushgap::simulation {

FaultContext::FaultContext(Surroundings &surroundings, const RunSettings &settings,
                           FaultTargets targets)
    : surroundings(surroundings)
    , settings(settings)
    , targets(targets)
{}

void FaultContext::disturbInstances(const std::string &domain, Duration duration)
{
    for (const auto &instance : this->targets.instances) {
        if (instance->member().domain == domain)
            this->disturbances().instance(instance->member().name, this->now() + duration);
    }
}

void FaultContext::disturbUpstreams(const std::string &domain, Duration duration)
{
    for (const std::size_t number : this->targets.fleet.serving("")) {
        FleetMember &member = this->targets.fleet.member(number);
        if (member.entry.domain == domain)
            member.disturbedUntil = std::max(member.disturbedUntil, this->now() + duration);
    }
}

void FaultContext::undoAfter(Duration duration, std::function<void()> undo)
{
    this->surroundings.loop.after(duration, std::move(undo));
}

std::vector<std::size_t> FaultContext::sample(std::vector<std::size_t> all, double share)
{
    std::ranges::shuffle(all, this->surroundings.random);
    const auto wanted = static_cast<std::size_t>(
        std::ceil(static_cast<double>(all.size()) * std::clamp(share, 0.0, 1.0)));
    all.resize(std::min(wanted, all.size()));
    return all;
}

std::vector<std::size_t> FaultContext::sampleInstances(double share)
{
    std::vector<std::size_t> all(this->targets.instances.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    return this->sample(std::move(all), share);
}

std::vector<std::size_t> FaultContext::sampleUpstreams(double share)
{
    return this->sample(this->targets.fleet.serving(""), share);
}

const std::string &FaultContext::randomDomain()
{
    return this->settings.domains.at(this->surroundings.random() % this->settings.domains.size());
}

const std::string &FaultContext::domainOf(const PlannedFault &fault)
{
    return fault.domain.empty() ? this->randomDomain() : fault.domain;
}

} // namespace bulrushgap::simulation

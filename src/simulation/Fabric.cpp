#include "simulation/Fabric.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr Duration readinessInterval = std::chrono::milliseconds(500);
constexpr unsigned toleratedMisses = 1;
constexpr std::uint64_t fabricKey = 0x6661'6272'6963'0001;

} // namespace internal

Fabric::Fabric(const Scheduler &scheduler, bool steadyHash, ReadyCheck isReady)
    : scheduler(scheduler)
    , steadyHash(steadyHash)
    , isReady(std::move(isReady))
    , hash(internal::fabricKey)
{}

void Fabric::add(std::size_t index, const std::string &domain)
{
    this->domains[domain].push_back({index, false, 0});
}

void Fabric::check()
{
    for (auto &[domain, entries] : this->domains) {
        for (Entry &entry : entries) {
            if (this->isReady(entry.index)) {
                entry.inRotation = true;
                entry.misses = 0;
            } else if (++entry.misses > internal::toleratedMisses) {
                entry.inRotation = false;
            }
        }
    }
    this->timer = this->scheduler.after(internal::readinessInterval, [this] { this->check(); });
}

std::vector<std::size_t> Fabric::usable(const std::string &domain) const
{
    std::vector<std::size_t> all;
    std::vector<std::size_t> rotating;
    const auto found = this->domains.find(domain);
    if (found == this->domains.end())
        return all;
    for (const Entry &entry : found->second) {
        all.push_back(entry.index);
        if (entry.inRotation)
            rotating.push_back(entry.index);
    }
    if (rotating.empty())
        return {};
    // With fewer than half in rotation, the fabric uses all of a domain's instances.
    return rotating.size() * 2 < all.size() ? all : rotating;
}

std::optional<std::size_t> Fabric::route(const std::string &domain, Endpoint caller,
                                         Endpoint route) const
{
    std::vector<std::size_t> instances = this->usable(domain);
    if (instances.empty()) {
        for (const auto &[other, entries] : this->domains) {
            const auto found = this->usable(other);
            instances.insert(instances.end(), found.begin(), found.end());
        }
    }
    if (instances.empty())
        return std::nullopt;
    const std::uint64_t flow = this->hash(caller.key(), route.key());
    if (!this->steadyHash)
        return instances[flow % instances.size()];
    return *std::ranges::max_element(instances, {},
                                     [&](std::size_t index) { return this->hash(flow, index); });
}

} // namespace bulrushgap::simulation

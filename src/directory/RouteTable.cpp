#include "directory/RouteTable.h"

#include "base/KeyedHash.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Bounds the history of removed routes and of services; a deployment has a few thousand routes at
 * most. */
constexpr std::size_t maxHistoryEntries = 8'192;

std::uint64_t servedKey(Endpoint address, std::string_view service)
{
    return KeyedHash(address.key())(service);
}

} // namespace internal

bool RouteTable::update(std::shared_ptr<const Configuration> next, TimePoint now)
{
    if (this->loaded && next->version <= this->current->version)
        return false;
    boost::unordered_flat_map<std::uint64_t, std::size_t> index;
    index.reserve(next->routes.size());
    for (std::size_t i = 0; i < next->routes.size(); ++i)
        index.emplace(next->routes[i].address.key(), i);
    for (const auto &[key, position] : this->byAddress) {
        if (!index.contains(key))
            this->removed.insert(key);
    }
    for (const auto &[key, position] : index)
        this->removed.erase(key);
    this->limitHistory();
    for (const Route &route : next->routes) {
        for (const ServiceShare &share : route.services)
            this->served.insert(internal::servedKey(route.address, share.service));
    }
    this->current = std::move(next);
    this->byAddress = std::move(index);
    this->loaded = true;
    this->changedAt = now;
    return true;
}

void RouteTable::limitHistory()
{
    if (this->removed.size() > internal::maxHistoryEntries)
        this->removed.clear();
    if (this->served.size() > internal::maxHistoryEntries)
        this->served.clear();
}

const Route *RouteTable::find(Endpoint address) const
{
    const auto found = this->byAddress.find(address.key());
    return found == this->byAddress.end() ? nullptr : &this->current->routes[found->second];
}

bool RouteTable::wasRemoved(Endpoint address) const
{
    return this->removed.contains(address.key());
}

bool RouteTable::everServed(Endpoint address, std::string_view service) const
{
    return this->served.contains(internal::servedKey(address, service));
}

const ServiceLimits &RouteTable::limits(std::string_view service) const
{
    static const ServiceLimits none;
    const auto &services = this->current->services;
    const auto found = std::ranges::find(services, service, &ServiceLimits::name);
    return found == services.end() ? none : *found;
}

} // namespace bulrushgap::balance

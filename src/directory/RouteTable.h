#pragma once

#include "base/Time.h"
#include "directory/Configuration.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace bulrushgap::balance {

/** \brief Routes and services of the latest configuration version; never reverts to an older one.
 */
class RouteTable
{
public:
    /** \brief Replaces the configuration if \a next is newer. \returns whether it did. */
    bool update(std::shared_ptr<const Configuration> next, TimePoint now);

    /** \returns the route at \a address, or nullptr. */
    [[nodiscard]] const Route *find(Endpoint address) const;

    /** \returns whether a version seen by this process had a route at \a address that was later
     * removed.
     */
    [[nodiscard]] bool wasRemoved(Endpoint address) const;

    /** \returns whether a version seen by this process sent new flows of the route to \a service.
     */
    [[nodiscard]] bool everServed(Endpoint address, std::string_view service) const;

    /** \returns the limits of a service; those of an unknown service are zero. */
    [[nodiscard]] const ServiceLimits &limits(std::string_view service) const;

    /** \returns all routes; valid until the next update. */
    [[nodiscard]] std::span<const Route> routes() const { return this->current->routes; }

    [[nodiscard]] bool isLoaded() const { return this->loaded; }
    [[nodiscard]] std::uint64_t version() const { return this->current->version; }
    [[nodiscard]] std::size_t size() const { return this->current->routes.size(); }
    [[nodiscard]] TimePoint updatedAt() const { return this->changedAt; }

private:
    void limitHistory();

    std::shared_ptr<const Configuration> current = std::make_shared<const Configuration>();
    bool loaded = false;
    TimePoint changedAt{};
    boost::unordered_flat_map<std::uint64_t, std::size_t> byAddress;
    boost::unordered_flat_set<std::uint64_t> removed;
    boost::unordered_flat_set<std::uint64_t> served; //!< Hashes of route address and service.
};

} // namespace bulrushgap::balance

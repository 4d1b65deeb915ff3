#pragma once

#include "base/Time.h"
#include "directory/RouteTable.h"
#include "directory/UpstreamDirectory.h"

#include <functional>
#include <string_view>

namespace bulrushgap::balance {

/** \brief Divides the rate limit of cold upstreams among the instances.
 *
 * Prevents the collapse of upstreams under full load after a start or after the return of their
 * failure domain. A few instances, on which all instances agree, share the rate of an upstream; the
 * others send it no new flows while it is cold. \sa ColdStartBudget
 */
class ColdStartPolicy
{
public:
    /** \returns whether this instance is among \a count that share the rate of an upstream. */
    using SharerCheck = std::function<bool(std::string_view upstream, unsigned count)>;

    ColdStartPolicy(UpstreamDirectory &directory, const RouteTable &routes, SharerCheck isSharer);

    /** \brief Recomputes the budgets after a change of upstreams, limits or instances. */
    void refresh();

    /** \brief Treats the upstreams of a failure domain as cold, since they may have become so. */
    void markDomainCold(std::string_view domain, TimePoint now);

private:
    UpstreamDirectory &directory;
    const RouteTable &routes;
    SharerCheck isSharer;
};

} // namespace bulrushgap::balance

#pragma once

#include "base/Time.h"
#include "directory/RouteTable.h"
#include "directory/UpstreamDirectory.h"

#include <functional>
#include <string_view>

namespace bulrushgap::balance {

/** \brief Shares the rate that cold upstreams bear among the instances.
 *
 * Answers upstreams that collapse under full load after a start, and failure domains that come back
 * cold: a few instances, the same in the view of all, share the rate of an upstream; the others do
 * not use it while it is cold. \sa ColdStartBudget
 */
class ColdStartPolicy
{
public:
    /** \returns whether this instance is among \a count that share the rate of an upstream. */
    using SharerCheck = std::function<bool(std::string_view upstream, unsigned count)>;

    ColdStartPolicy(UpstreamDirectory &directory, const RouteTable &routes, SharerCheck isSharer);

    /** \brief Sets the budgets anew after a change of upstreams, limits or instances. */
    void refresh();

    /** \brief The upstreams of a failure domain may have turned cold without notice. */
    void domainReturned(std::string_view domain, TimePoint now);

private:
    UpstreamDirectory &directory;
    const RouteTable &routes;
    SharerCheck isSharer;
};

} // namespace bulrushgap::balance

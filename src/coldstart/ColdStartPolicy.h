#pragma once

#include "base/Time.h"
#include "directory/RouteTable.h"
#include "directory/UpstreamDirectory.h"

#include <functional>
#include <string_view>
#include <vector>

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

    /** \brief Treats an upstream as cold that has returned from an outage and may have restarted.
     */
    void markReturned(UpstreamIndex upstream, const Outage &outage, TimePoint now);

    /** \brief Ends the coldness of returned upstreams whose entries the store has confirmed since.
     */
    void confirmReturned(TimePoint registryConfirmedAt);

    /** \returns whether such an upstream would no longer be cold. */
    [[nodiscard]] bool isConfirmed(const Upstream &upstream, TimePoint registryConfirmedAt) const;

    /** \returns whether upstreams have returned of which it is not known whether they are cold. */
    [[nodiscard]] bool awaitsConfirmation() const { return !this->returned.empty(); }

private:
    UpstreamDirectory &directory;
    const RouteTable &routes;
    SharerCheck isSharer;
    std::vector<UpstreamIndex> returned; //!< Those with a ColdReturn, and some that had one.
};

} // namespace bulrushgap::balance

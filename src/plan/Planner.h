#pragma once

#include "base/Counters.h"
#include "message/PeerMessage.h"
#include "plan/ObjectStoreView.h"
#include "plan/Plan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrushgap {

/** \brief A live instance as the planner knows it. */
struct LiveInstance
{
    std::string name;
    std::string domain; //!< Name of its failure domain.
    Endpoint peerAddress;
    Endpoint dataAddress;
    std::uint64_t bootId = 0;
    bool leaving = false;
};

/** \brief What the planner knows beyond the operators' objects. */
struct PlannerInputs
{
    std::vector<LiveInstance> instances;       //!< Live ones, the planner included.
    std::vector<UpstreamStatus> health;        //!< Newest report per upstream, from its owner.
    std::vector<std::string> reachableDomains; //!< Failure domains with a live instance.
    std::uint64_t writer = 0;                  //!< Identity of the planner, see planWriterId().
    bool storeWritable
        = true; //!< Otherwise the plan is for an overlay, see PlanWriter::inOutage().
};

/** \brief Weight of an upstream that is new or returns. */
constexpr std::uint8_t coldWeight = fullWeight / 8;

/** \brief Builds the next plan as a pure function of objects, previous plan, liveness and health.
 *
 * - Objects keep their ids. New ids follow the greatest id in use and wrap after 65,535.
 * - A failure domain that cannot be reached stays listed. Its instances are listed as leaving, so
 *   they own and arbitrate nothing, and its upstreams as draining with weight 0, so recorded flows
 *   keep their upstream and continue after the partition. DomainGate stops the packets meanwhile.
 * - Upstreams and instances of a failure domain that was taken out are listed the same way; the
 *   domain's mark stops the packets.
 * - A new or returning upstream starts with coldWeight. Its weight at most doubles per plan, so one
 *   outdated report of full warmth cannot load it fully.
 * - At most a third of a service is ejected; the others keep their weight, counted as
 *   `ejection_limited`.
 * - An upstream that several services select belongs to the service that has it already, otherwise
 *   to the first by name (`upstream_selected_twice`). Of objects with the same address, the one
 *   of the previous plan counts, otherwise the first by name (`address_duplicate`).
 * - While the store cannot be written, the operators' part of the previous plan stays: a change
 * that only an overlay contains would be reverted by a rival's stored plan.
 * - A view that has not been listed, or is behind the previous plan's configuration, contributes
 *   nothing: the operators' part of the previous plan stays (`planner_view_behind`).
 */
class Planner
{
public:
    explicit Planner(Counters &counters)
        : counters(counters)
    {}

    /** \returns the next plan, or \a previous itself if nothing changed.
     *
     * The id of a changed plan is that of \a previous with the planner as writer; PlanWriter
     * assigns the final id.
     */
    [[nodiscard]] Plan next(const ObjectStoreView &view, const Plan &previous,
                            const PlannerInputs &inputs) const;

private:
    Counters &counters;
};

/** \returns whether the contents differ; ids are not compared. */
[[nodiscard]] bool differs(const Plan &left, const Plan &right);

/** \returns whether the contents differ in more than weights and ejections. */
[[nodiscard]] bool differsBeyondHealth(const Plan &left, const Plan &right);

} // namespace bulrushgap

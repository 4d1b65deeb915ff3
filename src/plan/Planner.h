#pragma once

#include "base/Counters.h"
#include "message/PeerMessage.h"
#include "plan/ObjectStoreView.h"
#include "plan/Plan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrushgap {

/** \brief Live instance as seen by the planner. */
struct LiveInstance
{
    std::string name;
    std::string domain; //!< Name of its failure domain.
    Endpoint peerAddress;
    Endpoint dataAddress;
    std::uint64_t bootId = 0;
    bool leaving = false;
};

/** \brief Planner inputs other than the configuration objects. */
struct PlannerInputs
{
    std::vector<LiveInstance> instances;       //!< Live instances including the planner.
    std::vector<UpstreamStatus> health;        //!< Newest report of each upstream's owner.
    std::vector<std::string> reachableDomains; //!< Failure domains with a live instance.
    std::uint64_t writer = 0;                  //!< Identity of the planner, see planWriterId().
    bool storeWritable
        = true; //!< If false, the plan becomes an overlay; see PlanWriter::inOutage().
};

/** \brief Initial weight of a new or returning upstream. */
constexpr std::uint8_t coldWeight = fullWeight / 8;

/** \brief Builds the next plan as a pure function of objects, previous plan, liveness and health.
 *
 * - Objects keep their ids. New ids follow the greatest id in use and wrap after 65,535.
 * - An unreachable failure domain stays in the plan. Its instances are marked as leaving, so they
 *   neither own nor arbitrate, and its upstreams as draining with weight 0, so recorded flows keep
 *   their upstream and continue after the partition. Meanwhile DomainGate stops the packets.
 * - Upstreams and instances of a failure domain taken out by an operator are treated the same way;
 *   PlanDomain::out stops the packets.
 * - A new or returning upstream starts with coldWeight. Its weight at most doubles per plan, so an
 *   outdated report of full warmth cannot immediately give it full load.
 * - At most a third of a service's upstreams are ejected; further ones keep their weight and are
 *   counted as `ejection_limited`.
 * - An upstream that several services select belongs to the service that has it already, otherwise
 *   to the first by name (`upstream_selected_twice`). Of objects with the same address, the one
 *   of the previous plan counts, otherwise the first by name (`address_duplicate`).
 * - While the store cannot be written, the configuration of the previous plan is kept: a rival's
 * stored plan would revert a change that exists only in an overlay.
 * - A view that has not been listed, or is behind the previous plan's configuration, is not
 *   used: the configuration of the previous plan is kept (`planner_view_behind`).
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

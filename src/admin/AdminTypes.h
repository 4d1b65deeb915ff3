#pragma once

#include "plan/PlanId.h"
#include "service/Fault.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Kinds of objects that operators write. */
enum class ObjectKind { Service, Upstream, Domain };

/** \returns the first part of keys of the kind, for example "service". */
[[nodiscard]] constexpr std::string_view toString(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Service:
        return "service";
    case ObjectKind::Upstream:
        return "upstream";
    case ObjectKind::Domain:
        return "domain";
    }
    return "";
}

/** \brief How far one instance is. */
struct InstanceStatus
{
    std::string name;
    bool alive = false;
    PlanId inForce;
    PlanId newest;                   //!< Newest plan that the instance knows.
    std::uint64_t configVersion = 0; //!< Plan::configVersion of the plan in force.
    std::string reason;              //!< Why inForce is not the newest; empty if it is.
};

struct SystemStatus
{
    PlanId newest;                   //!< Newest plan known anywhere.
    std::uint64_t configVersion = 0; //!< Plan::configVersion of that plan.
    std::vector<InstanceStatus> instances;
};

/** \brief What the administration API asks the rest of the process. */
struct AdminHooks
{
    /** Checks a value before it is written; no faults if it is valid. */
    std::function<std::vector<Fault>(ObjectKind kind, const boost::json::value &value)> validate;
    std::function<SystemStatus()> status;
    std::function<std::string()> metrics; //!< Prometheus text format.
    std::function<bool()> ready;
};

} // namespace bulrushgap

#include "plan/PlannerElection.h"

#include <tuple>

namespace bulrushgap {

const LiveInstance *electPlanner(std::span<const LiveInstance> instances, std::string_view scope,
                                 const KeyedHash &hash)
{
    const auto rank = [&](const LiveInstance &instance) {
        return hash(hash(scope), hash(instance.name));
    };
    const LiveInstance *elected = nullptr;
    for (const LiveInstance &instance : instances) {
        if (instance.leaving)
            continue;
        if (elected == nullptr
            || std::tuple(rank(instance), instance.name)
                   < std::tuple(rank(*elected), elected->name))
            elected = &instance;
    }
    return elected;
}

bool isPlanner(std::string_view self, std::span<const LiveInstance> instances,
               std::string_view scope, const KeyedHash &hash)
{
    const LiveInstance *elected = electPlanner(instances, scope, hash);
    return elected != nullptr && elected->name == self;
}

std::uint64_t planWriterId(std::string_view instance, std::uint64_t bootId, const KeyedHash &hash)
{
    return hash(hash(instance), bootId);
}

} // namespace bulrushgap

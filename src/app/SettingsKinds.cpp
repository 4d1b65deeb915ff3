#include "app/SettingsKinds.h"

#include "service/BalancerSettings.h"
#include "service/InstanceSettings.h"
#include "simulation/Experiment.h"
#include "standin/PlatformStandin.h"

#include <array>

namespace bulrushgap {

// clang-format off
std::span<const SettingsKind> settingsKinds()
{
    static const std::array table{
        SettingsKind{"instance", InstanceSettings::reader},
        SettingsKind{"balancer", BalancerSettings::reader},
        SettingsKind{"experiment", simulation::Experiment::reader},
        SettingsKind{"platform", PlatformStandinSettings::reader},
    };
    return table;
}
// clang-format on

} // namespace bulrushgap

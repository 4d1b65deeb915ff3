#include "app/CheckCommand.h"
#include "app/Commands.h"
#include "app/SettingsKinds.h"
#include "role/BalancerCommand.h"
#include "service/BalancerSettings.h"

#include <array>

namespace bulrushgap {

// clang-format off
std::span<const Command> commands()
{
    static const std::array table{
        Command{"balancer", "runs an instance on the users' platform", runBalancer},
        Command{"check", "checks a settings file or prints the reference of its fields", runCheck},
    };
    return table;
}

std::span<const SettingsKind> settingsKinds()
{
    static const std::array table{
        SettingsKind{"balancer", BalancerSettings::reader},
    };
    return table;
}
// clang-format on

} // namespace bulrushgap

#include "admin/OperateCommand.h"
#include "app/CheckCommand.h"
#include "app/Commands.h"
#include "app/ExperimentCommand.h"
#include "app/ExplainCommand.h"
#include "app/StandinCommands.h"
#include "role/BalancerCommand.h"
#include "role/InstanceCommand.h"
#include "standin/CallerStandin.h"
#include "standin/FabricStandin.h"
#include "standin/UpstreamHost.h"

#include <array>

namespace bulrushgap {

namespace internal {

int runStandin(std::span<const std::string> arguments)
{
    return runFrom("bulrushgap standin", standinCommands(), arguments);
}

} // namespace internal

// clang-format off
std::span<const Command> commands()
{
    static const std::array table{
        Command{"balancer", "runs an instance on the users' platform", runBalancer},
        Command{"check", "checks a settings file or prints the reference of its fields", runCheck},
        Command{"experiment", "plays a deployment with faults in virtual time", runExperiment},
        Command{"explain", "shows where a new flow would go now, and why", runExplain},
        Command{"instance", "runs an instance of the load balancer", runInstance},
        Command{"operate", "operators' command over the administration API", runOperate},
        Command{"standin", "runs a stand-in of an outside system", internal::runStandin},
    };
    return table;
}

std::span<const Command> standinCommands()
{
    static const std::array table{
        Command{"callers", "callers that load services and check what they get", runCallersStandin},
        Command{"fabric", "fabric that hands any packet to any instance", runFabricStandin},
        Command{"platform", "object API of the platform, in memory", runPlatformStandin},
        Command{"upstream", "upstreams of services, any number in one process", runUpstreamStandin},
    };
    return table;
}
// clang-format on

} // namespace bulrushgap

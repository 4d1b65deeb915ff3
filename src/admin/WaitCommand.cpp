#include "admin/WaitCommand.h"

#include "admin/OperateOutput.h"
#include "service/ExitCode.h"

#include <iostream>
#include <string>
#include <vector>

namespace bulrushgap {

namespace internal {

/** \returns whether an instance must still catch up. */
bool isBehind(const boost::json::object &instance, const std::string &newest, std::uint64_t version)
{
    const auto *alive = instance.if_contains("alive");
    if (alive == nullptr || !alive->is_bool() || !*alive->if_bool())
        return false;
    return answerText(instance, "inForce") != newest
           || answerNumber(instance, "configVersion") < version;
}

std::vector<boost::json::object> behind(const boost::json::object &status, std::uint64_t version)
{
    std::vector<boost::json::object> list;
    for (const auto &instance : answerList(status, "instances")) {
        if (isBehind(instance, answerText(status, "newest"), version))
            list.push_back(instance);
    }
    return list;
}

/** \returns the newest version of operators' objects, or 0 while the platform is down. */
std::uint64_t newestVersion(AdminConnection &connection)
{
    const AdminAnswer answer = connection.get("/v1/config");
    if (!answer.succeeded())
        std::cerr << "the platform is unavailable; waiting for the newest plan known to peers\n";
    return answerNumber(answer.body, "version");
}

} // namespace internal

int waitForConfiguration(AdminConnection &connection, const WaitOptions &options)
{
    constexpr std::chrono::milliseconds pollInterval{200};
    const auto deadline = std::chrono::steady_clock::now() + options.timeout;
    const std::uint64_t version
        = options.version ? *options.version : internal::newestVersion(connection);
    AdminAnswer answer;
    while (true) {
        answer = connection.get("/v1/status");
        const bool known
            = answer.succeeded() && !internal::answerList(answer.body, "instances").empty();
        if (known && internal::behind(answer.body, version).empty()) {
            std::cout << "in force: " << internal::answerText(answer.body, "newest") << '\n';
            return toInt(ExitCode::Success);
        }
        if (std::chrono::steady_clock::now() >= deadline)
            break;
        connection.pause(pollInterval);
    }
    if (!answer.succeeded()) {
        std::cerr << "no status from the administration API\n";
        return toInt(ExitCode::Unreachable);
    }
    std::cerr << "not in force everywhere: newest=" << internal::answerText(answer.body, "newest")
              << " config=" << version << '\n';
    for (const auto &instance : internal::behind(answer.body, version))
        std::cerr << internal::instanceLine(instance) << '\n';
    return toInt(ExitCode::Failed);
}

} // namespace bulrushgap

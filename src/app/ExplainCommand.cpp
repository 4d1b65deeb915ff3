#include "app/ExplainCommand.h"

#include "admin/AdminConnection.h"
#include "admin/OperateOutput.h"
#include "app/ExplainOutput.h"
#include "service/CommandOptions.h"
#include "service/ExitCode.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <algorithm>
#include <iostream>
#include <optional>
#include <vector>

namespace bulrushgap {

namespace internal {

/** \brief Answer of one instance with the exit code that it stands for. */
struct InstanceAnswer
{
    ExitCode code = ExitCode::Success;
    boost::json::object body;
};

InstanceAnswer failedAnswer(Endpoint instance, ExitCode code, std::string_view problem)
{
    std::cerr << "instance " << instance.toString() << ": " << problem << '\n';
    return {code, {}};
}

InstanceAnswer requestExplanation(Endpoint instance, const std::string &target)
{
    AdminConnection connection(instance);
    AdminAnswer answer = connection.get(target);
    if (answer.failure != HttpFailure::None)
        return failedAnswer(instance, ExitCode::Unreachable, "is unreachable");
    if (!answer.body.contains("verdict"))
        return failedAnswer(instance, ExitCode::Failed, "does not explain new flows");
    const std::string verdict = answerText(answer.body, "verdict");
    InstanceAnswer result{ExitCode::Success, std::move(answer.body)};
    if (answer.status == 503) {
        result.code = ExitCode::Unreachable;
        std::cerr << "instance " << instance.toString()
                  << " is not ready: " << answerText(result.body, "notReadyReason") << '\n';
    } else if (answer.status == 404) {
        result.code = ExitCode::Failed;
        std::cerr << "instance " << instance.toString() << " has no such route: " << verdict
                  << '\n';
    } else if (verdict != "new_flow") {
        result.code = ExitCode::Failed;
    }
    return result;
}

void printJson(const std::vector<boost::json::object> &answers)
{
    boost::json::array list(answers.begin(), answers.end());
    boost::json::object object{{"answers", std::move(list)}};
    if (answers.size() > 1)
        object["differences"] = differences(answers);
    std::cout << boost::json::serialize(object) << '\n';
}

void printText(const std::vector<boost::json::object> &answers)
{
    for (const boost::json::object &answer : answers)
        printExplanation(std::cout, answer);
    if (answers.size() > 1)
        printDifferences(std::cout, differences(answers));
}

int explain(const std::vector<Endpoint> &instances, const std::string &target, bool json)
{
    ExitCode code = ExitCode::Success;
    std::vector<boost::json::object> answers;
    for (const Endpoint instance : instances) {
        InstanceAnswer answer = requestExplanation(instance, target);
        code = std::max(code, answer.code);
        if (!answer.body.empty())
            answers.push_back(std::move(answer.body));
    }
    if (json)
        printJson(answers);
    else
        printText(answers);
    return toInt(code);
}

/** \returns the endpoints of \a texts, or nothing if one is malformed or there is none. */
std::optional<std::vector<Endpoint>> parseEndpoints(const std::vector<std::string> &texts)
{
    std::vector<Endpoint> endpoints;
    for (const std::string &text : texts) {
        const auto endpoint = Endpoint::parse(text);
        if (!endpoint)
            return std::nullopt;
        endpoints.push_back(*endpoint);
    }
    return endpoints.empty() ? std::nullopt : std::optional(endpoints);
}

} // namespace internal

int runExplain(std::span<const std::string> arguments)
{
    namespace po = boost::program_options;
    CommandOptions options("bulrushgap explain --instance IP:PORT [--instance IP:PORT ...] "
                           "--route IP:PORT [--caller IP:PORT] [--json]");
    options.table.add_options()("instance", po::value<std::vector<std::string>>(),
                                "readiness address of an instance; may be repeated")(
        "route", po::value<std::string>(), "address that the flow is opened to")(
        "caller", po::value<std::string>(),
        "whose unanswered attempts count")("json", "prints answers as JSON");
    if (const auto code = options.parse(arguments))
        return *code;
    const auto instances = internal::parseEndpoints(options.list("instance"));
    if (!instances)
        return options.usageError("option --instance needs IP:PORT");
    const auto route = Endpoint::parse(options.text("route"));
    if (!route)
        return options.usageError("option --route needs IP:PORT");
    std::string target = "/explain?route=" + route->toString();
    if (options.has("caller")) {
        const auto caller = Endpoint::parse(options.text("caller"));
        if (!caller)
            return options.usageError("option --caller needs IP:PORT");
        target += "&caller=" + caller->toString();
    }
    return internal::explain(*instances, target, options.has("json"));
}

} // namespace bulrushgap

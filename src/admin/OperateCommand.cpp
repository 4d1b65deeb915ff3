#include "admin/OperateCommand.h"

#include "admin/AdminConnection.h"
#include "admin/OperateOutput.h"
#include "admin/WaitCommand.h"
#include "service/CommandOptions.h"
#include "service/ExitCode.h"

#include <boost/json/serialize.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <optional>
#include <vector>

namespace bulrushgap {

namespace internal {

constexpr std::chrono::seconds changeTimeout{30}; //!< A drain changes its upstreams in turn.

/** \brief One run of the command: options and arguments after the verb. */
struct Operation
{
    AdminConnection &connection;
    std::vector<std::string> arguments;
    std::optional<std::string> ifMatch;
    bool json = false;
    WaitOptions wait;
};

/** \brief Row of the table of verbs. */
struct Verb
{
    std::string_view name;
    std::string_view usage;
    std::size_t leastArguments;
    std::size_t mostArguments;
    std::function<int(Operation &operation)> run;
};

std::string encodedText(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

/** \returns the path of a kind, given as "upstream" or "upstreams", and a name. */
std::string objectPath(std::string kind, const std::string &name)
{
    if (!kind.ends_with('s'))
        kind += 's';
    return "/v1/" + encodedText(kind) + (name.empty() ? "" : "/" + encodedText(name));
}

int send(Operation &operation, const std::string &method, const std::string &target,
         const std::string &body)
{
    HttpCall call;
    call.method = method;
    call.target = target;
    call.ifMatch = operation.ifMatch;
    call.body = body;
    call.timeout = changeTimeout;
    return printAnswer(operation.connection.send(std::move(call)), operation.json);
}

int operateGet(Operation &operation)
{
    const auto &arguments = operation.arguments;
    const std::string name = arguments.size() > 1 ? arguments[1] : "";
    const std::string path = objectPath(arguments[0], name);
    return printAnswer(operation.connection.get(path), operation.json);
}

int operatePut(Operation &operation)
{
    const auto &arguments = operation.arguments;
    std::ifstream file;
    if (arguments[2] != "-")
        file.open(arguments[2], std::ios::binary);
    std::istream &input = arguments[2] == "-" ? std::cin : file;
    if (!input) {
        std::cerr << "no file " << arguments[2] << '\n';
        return toInt(ExitCode::Failed);
    }
    const std::string body{std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
    return send(operation, "PUT", objectPath(arguments[0], arguments[1]), body);
}

int operateDelete(Operation &operation)
{
    const auto &arguments = operation.arguments;
    return send(operation, "DELETE", objectPath(arguments[0], arguments[1]), "");
}

/** \returns the patch of arguments "key=value" and "key-", or nothing if one is malformed. */
std::optional<boost::json::object> labelPatch(std::span<const std::string> arguments)
{
    boost::json::object patch;
    for (const std::string &argument : arguments) {
        const std::size_t equals = argument.find('=');
        if (equals != std::string::npos && equals > 0)
            patch[argument.substr(0, equals)] = argument.substr(equals + 1);
        else if (argument.size() > 1 && argument.ends_with('-'))
            patch[argument.substr(0, argument.size() - 1)] = nullptr;
        else
            return std::nullopt;
    }
    return patch;
}

int operateLabel(Operation &operation)
{
    const auto &arguments = operation.arguments;
    const auto patch = labelPatch(std::span(arguments).subspan(2));
    if (!patch) {
        std::cerr << "expected key=value or key-\n";
        return toInt(ExitCode::Usage);
    }
    const std::string path = objectPath(arguments[0], arguments[1]);
    if (!operation.ifMatch) {
        const AdminAnswer current = operation.connection.get(path);
        if (!current.succeeded())
            return printAnswer(current, operation.json);
        operation.ifMatch = std::to_string(answerNumber(current.body, "version"));
    }
    return send(operation, "PATCH", path + "/labels", boost::json::serialize(*patch));
}

int operateSelect(Operation &operation)
{
    const std::string target = "/v1/upstreams?selector=" + encodedText(operation.arguments[0]);
    return printAnswer(operation.connection.get(target), operation.json);
}

int changeSelected(Operation &operation, const std::string &target)
{
    const boost::json::object body{{"selector", operation.arguments[0]}};
    return send(operation, "POST", target, boost::json::serialize(body));
}

int changeDomain(Operation &operation, const std::string &action)
{
    return send(operation, "POST", objectPath("domain", operation.arguments[0]) + action, "");
}

// clang-format off
std::span<const Verb> verbs()
{
    static const std::array table{
        Verb{"get", "KIND [NAME]", 1, 2, operateGet},
        Verb{"put", "KIND NAME FILE", 3, 3, operatePut},
        Verb{"delete", "KIND NAME", 2, 2, operateDelete},
        Verb{"label", "KIND NAME KEY=VALUE|KEY- ...", 3, 64, operateLabel},
        Verb{"select", "SELECTOR", 1, 1, operateSelect},
        Verb{"drain", "SELECTOR", 1, 1, [](auto &operation) { return changeSelected(operation, "/v1/drain"); }},
        Verb{"undrain", "SELECTOR", 1, 1, [](auto &operation) { return changeSelected(operation, "/v1/undrain"); }},
        Verb{"takeout", "DOMAIN", 1, 1, [](auto &operation) { return changeDomain(operation, "/takeout"); }},
        Verb{"bringback", "DOMAIN", 1, 1, [](auto &operation) { return changeDomain(operation, "/bringback"); }},
        Verb{"status", "", 0, 0, [](auto &operation) { return printAnswer(operation.connection.get("/v1/status"), operation.json); }},
        Verb{"wait", "", 0, 0, [](auto &operation) { return waitForConfiguration(operation.connection, operation.wait); }},
    };
    return table;
}
// clang-format on

std::string verbList()
{
    std::string text = "verb and its arguments:";
    for (const Verb &verb : verbs())
        text += "\n" + std::string(verb.name) + " " + std::string(verb.usage);
    return text;
}

template <typename Number>
std::optional<Number> parsedNumber(const std::string &text)
{
    Number number{};
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional<Number>(number)
                                                         : std::nullopt;
}

/** \brief Reads the options of wait. \returns false if one is malformed. */
bool readWaitOptions(const CommandOptions &options, WaitOptions &wait)
{
    constexpr unsigned longestWaitSeconds = 86'400;
    const auto timeout = parsedNumber<unsigned>(options.text("timeout"));
    if (!timeout || *timeout > longestWaitSeconds)
        return false;
    wait.timeout = std::chrono::seconds(*timeout);
    if (options.has("version"))
        wait.version = parsedNumber<std::uint64_t>(options.text("version"));
    return !options.has("version") || wait.version.has_value();
}

/** \brief Runs the verb that \a words starts with. */
int runVerb(const CommandOptions &options, Endpoint admin, std::vector<std::string> words)
{
    if (words.empty())
        return options.usageError("a verb is required");
    const auto verb = std::ranges::find(verbs(), words.front(), &Verb::name);
    if (verb == verbs().end())
        return options.usageError("no such verb: " + words.front());
    words.erase(words.begin());
    if (words.size() < verb->leastArguments || words.size() > verb->mostArguments)
        return options.usageError("usage of the verb: " + std::string(verb->name) + " "
                                  + std::string(verb->usage));
    AdminConnection connection(admin);
    Operation operation{connection, std::move(words), std::nullopt, options.has("json"), {}};
    if (options.has("if-match"))
        operation.ifMatch = options.text("if-match");
    if (!readWaitOptions(options, operation.wait))
        return options.usageError("options --timeout and --version need whole numbers");
    return verb->run(operation);
}

} // namespace internal

int runOperate(std::span<const std::string> arguments)
{
    namespace po = boost::program_options;
    CommandOptions options("bulrushgap operate --admin IP:PORT [OPTIONS] VERB [ARGUMENTS]");
    const std::string verbHelp = internal::verbList();
    const auto add = [&](const char *name, const char *help) {
        options.table.add_options()(name, po::value<std::string>(), help);
    };
    add("admin", "administration API of any instance");
    add("if-match", "version that the object must have");
    add("version", "wait: store version that must be in force; default: the newest");
    options.table.add_options()("timeout", po::value<std::string>()->default_value("30"),
                                "wait: seconds")("json", "prints answers as JSON")(
        "words", po::value<std::vector<std::string>>(), verbHelp.c_str());
    options.positional.add("words", -1);
    if (const auto code = options.parse(arguments))
        return *code;
    const auto admin = Endpoint::parse(options.text("admin"));
    if (!admin)
        return options.usageError("option --admin needs IP:PORT");
    return internal::runVerb(options, *admin, options.list("words"));
}

} // namespace bulrushgap

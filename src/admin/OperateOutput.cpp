#include "admin/OperateOutput.h"

#include "service/ExitCode.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>

namespace bulrushgap::internal {

std::vector<boost::json::object> answerList(const boost::json::object &object,
                                            std::string_view name)
{
    std::vector<boost::json::object> list;
    const auto *member = object.if_contains(name);
    if (member == nullptr || !member->is_array())
        return list;
    for (const auto &entry : *member->if_array()) {
        if (entry.is_object())
            list.push_back(*entry.if_object());
    }
    return list;
}

std::string answerText(const boost::json::object &object, std::string_view name)
{
    const auto *member = object.if_contains(name);
    if (member == nullptr || !member->is_string())
        return {};
    return std::string(std::string_view(*member->if_string()));
}

std::uint64_t answerNumber(const boost::json::object &object, std::string_view name)
{
    const auto *member = object.if_contains(name);
    if (member == nullptr || !member->is_int64())
        return 0;
    return static_cast<std::uint64_t>(*member->if_int64());
}

/** \returns one line about an object, a write or the change of a label. */
std::string objectLine(const boost::json::object &object)
{
    std::string line = answerText(object, "key");
    if (object.contains("result"))
        line += " " + answerText(object, "result");
    line += " version=" + std::to_string(answerNumber(object, "version"));
    if (const auto *value = object.if_contains("value"))
        line += " " + boost::json::serialize(*value);
    return line;
}

std::string instanceLine(const boost::json::object &instance)
{
    const auto *alive = instance.if_contains("alive");
    const bool dead = alive == nullptr || !alive->is_bool() || !*alive->if_bool();
    std::string line = answerText(instance, "name") + (dead ? " dead" : " alive");
    line += " inForce=" + answerText(instance, "inForce");
    line += " newest=" + answerText(instance, "newest");
    line += " config=" + std::to_string(answerNumber(instance, "configVersion"));
    const std::string reason = answerText(instance, "reason");
    return reason.empty() ? line : line + " behind: " + reason;
}

void printLines(const boost::json::object &body)
{
    for (const auto &object : answerList(body, "objects"))
        std::cout << objectLine(object) << '\n';
    if (body.contains("key"))
        std::cout << objectLine(body) << '\n';
    if (body.contains("newest"))
        std::cout << "newest=" << answerText(body, "newest")
                  << " config=" << answerNumber(body, "configVersion") << '\n';
    for (const auto &instance : answerList(body, "instances"))
        std::cout << instanceLine(instance) << '\n';
}

void printError(const boost::json::object &body)
{
    if (body.contains("error"))
        std::cerr << answerText(body, "error") << '\n';
    if (body.contains("error") && body.contains("version"))
        std::cerr << "current version: " << answerNumber(body, "version") << '\n';
    if (const auto *readBack = body.if_contains("readBack"))
        std::cerr << "read back: " << boost::json::serialize(*readBack) << '\n';
    for (const auto &fault : answerList(body, "faults")) {
        std::cerr << answerText(fault, "path") << ": expected " << answerText(fault, "expected")
                  << ", found " << answerText(fault, "found") << '\n';
    }
}

int exitCodeOf(const AdminAnswer &answer)
{
    if (answer.failure == HttpFailure::NotSent)
        return toInt(ExitCode::Unreachable);
    if (answer.failure == HttpFailure::NoResponse)
        return toInt(ExitCode::Failed);
    if (answer.succeeded())
        return toInt(ExitCode::Success);
    if (answer.status == 409 || answer.status == 428)
        return toInt(ExitCode::Conflict);
    return toInt(answer.status == 503 ? ExitCode::Unreachable : ExitCode::Failed);
}

int printAnswer(const AdminAnswer &answer, bool json)
{
    if (answer.failure == HttpFailure::NotSent)
        std::cerr << "the administration API is unreachable; nothing was changed\n";
    else if (answer.failure == HttpFailure::NoResponse)
        std::cerr << "the answer was lost; a change may have been applied\n";
    else if (json)
        std::cout << boost::json::serialize(answer.body) << '\n';
    else
        printLines(answer.body);
    if (!json)
        printError(answer.body);
    return exitCodeOf(answer);
}

} // namespace bulrushgap::internal

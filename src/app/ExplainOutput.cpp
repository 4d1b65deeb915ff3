#include "app/ExplainOutput.h"

#include "admin/OperateOutput.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushgap::internal {

namespace {

using Values = std::vector<boost::json::value>;

constexpr int scoreDecimals = 3;

/** \returns a list of services or upstreams as an object, by their names; another value itself. */
boost::json::value byName(const boost::json::value &value)
{
    if (!value.is_array())
        return value;
    boost::json::object members;
    for (const boost::json::value &element : *value.if_array()) {
        const auto *object = element.if_object();
        if (object == nullptr)
            return value;
        members[answerText(*object, object->contains("service") ? "service" : "upstream")]
            = element;
    }
    return members;
}

/** \returns the members \a name of objects; null where there is none. */
Values membersOf(const Values &objects, std::string_view name)
{
    Values members;
    for (const boost::json::value &object : objects) {
        const auto *member = object.if_object()->if_contains(name);
        members.push_back(member == nullptr ? boost::json::value(nullptr) : byName(*member));
    }
    return members;
}

std::set<std::string> memberNames(const Values &objects)
{
    std::set<std::string> names;
    for (const boost::json::value &object : objects) {
        for (const auto &member : *object.if_object())
            names.insert(std::string(std::string_view(member.key())));
    }
    return names;
}

/** \brief Adds the values at \a path that differ, or those of their members, to \a result. */
void compare(const Values &values, const std::string &path, boost::json::object &result)
{
    if (std::ranges::all_of(values, [](const auto &value) { return value.is_object(); })) {
        const std::string prefix = path.empty() ? "" : path + ".";
        for (const std::string &name : memberNames(values))
            compare(membersOf(values, name), prefix + name, result);
        return;
    }
    const bool differs = std::ranges::any_of(
        values, [&values](const auto &value) { return value != values.front(); });
    if (differs)
        result[path] = boost::json::array(values.begin(), values.end());
}

std::string plainText(const boost::json::value &value)
{
    if (value.is_null())
        return "-";
    if (value.is_object())
        return "listed";
    if (const auto *text = value.if_string())
        return std::string(std::string_view(*text));
    if (!value.is_double())
        return boost::json::serialize(value);
    std::ostringstream text;
    text << std::fixed << std::setprecision(scoreDecimals) << *value.if_double();
    return text.str();
}

std::string plainText(const boost::json::object &object, std::string_view name)
{
    const auto *member = object.if_contains(name);
    return plainText(member == nullptr ? boost::json::value(nullptr) : *member);
}

/** \returns the members of the object \a name that are not 0. */
std::string countsText(const boost::json::object &service, std::string_view name)
{
    std::string text;
    const auto *counts = service.if_contains(name);
    if (counts == nullptr || !counts->is_object())
        return text;
    for (const auto &[reason, count] : *counts->if_object()) {
        if (count != 0)
            text += " " + std::string(std::string_view(reason)) + "=" + plainText(count);
    }
    return text.empty() ? " none" : text;
}

void printService(std::ostream &stream, const boost::json::object &service)
{
    stream << "service " << plainText(service, "service")
           << " weight=" << plainText(service, "weight") << ": " << plainText(service, "verdict");
    if (service.contains("upstream"))
        stream << " to " << plainText(service, "upstream");
    stream << "\n  candidates=" << plainText(service, "candidates") << '\n';
    stream << "  excluded:" << countsText(service, "excluded") << '\n';
    stream << "  avoided:" << countsText(service, "avoided") << '\n';
    for (const boost::json::object &candidate : answerList(service, "best")) {
        stream << "  " << plainText(candidate, "upstream");
        for (const auto &[name, value] : candidate) {
            if (name != "upstream")
                stream << ' ' << std::string_view(name) << '=' << plainText(candidate, name);
        }
        stream << '\n';
    }
}

} // namespace

void printExplanation(std::ostream &stream, const boost::json::object &explanation)
{
    stream << "instance " << plainText(explanation, "instance")
           << " domain=" << plainText(explanation, "domain")
           << " ready=" << plainText(explanation, "ready");
    if (explanation.contains("notReadyReason"))
        stream << " reason=" << plainText(explanation, "notReadyReason");
    stream << " version=" << plainText(explanation, "version")
           << " view_age_ms=" << plainText(explanation, "viewAgeMs") << '\n';
    const std::string name = answerText(explanation, "route");
    stream << "route " << plainText(explanation, "address") << (name.empty() ? "" : " " + name)
           << ": " << plainText(explanation, "verdict") << '\n';
    for (const boost::json::object &service : answerList(explanation, "services"))
        printService(stream, service);
}

boost::json::object differences(std::span<const boost::json::object> answers)
{
    Values values;
    for (boost::json::object answer : answers) {
        answer.erase("instance");
        answer.erase("viewAgeMs");
        values.emplace_back(std::move(answer));
    }
    boost::json::object result;
    compare(values, "", result);
    return result;
}

void printDifferences(std::ostream &stream, const boost::json::object &fields)
{
    stream << (fields.empty() ? "no differences\n" : "differences:\n");
    for (const auto &[path, values] : fields) {
        stream << "  " << std::string_view(path) << ':';
        for (const boost::json::value &value : *values.if_array())
            stream << ' ' << plainText(value);
        stream << '\n';
    }
}

} // namespace bulrushgap::internal

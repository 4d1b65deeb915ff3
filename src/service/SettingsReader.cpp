#include "service/SettingsReader.h"

#include <boost/json/parse.hpp>
#include <boost/json/stream_parser.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace bulrushgap {

namespace internal {

/** \returns the fault for a syntax error at \a offset, with line and column. */
Fault makeSyntaxFault(std::string_view text, std::size_t offset, const std::string &message)
{
    const std::string_view before = text.substr(0, offset);
    const auto line = 1 + std::ranges::count(before, '\n');
    const std::size_t lineStart = before.rfind('\n') + 1;
    const std::size_t column = before.size() - lineStart + 1;
    return Fault{"", "JSON",
                 message + " at line " + std::to_string(line) + ", column "
                     + std::to_string(column)};
}

/** \brief Parses \a text; adds a fault to \a faults on a syntax error. */
boost::json::value parse(std::string_view text, std::vector<Fault> &faults)
{
    boost::json::stream_parser parser;
    boost::system::error_code error;
    const std::size_t consumed = parser.write_some(text.data(), text.size(), error);
    const std::string_view rest = text.substr(consumed);
    const std::size_t trailing = rest.find_first_not_of(" \t\r\n");
    boost::system::error_code endError;
    if (!error && !parser.done())
        parser.finish(endError);
    if (error)
        faults.push_back(makeSyntaxFault(text, consumed, error.message()));
    else if (endError)
        faults.push_back(makeSyntaxFault(text, text.size(), endError.message()));
    else if (trailing != std::string_view::npos)
        faults.push_back(makeSyntaxFault(text, consumed + trailing, "text after the value"));
    return faults.empty() ? parser.release() : boost::json::value{};
}

} // namespace internal

std::vector<std::string_view> SettingsReader::memberNames(std::string_view prefix) const
{
    std::vector<std::string_view> names;
    for (const Field &field : this->fields) {
        if (!field.path.starts_with(prefix))
            continue;
        const std::string_view rest = field.path.substr(prefix.size());
        const std::string_view name = rest.substr(0, rest.find('.'));
        if (std::ranges::find(names, name) == names.end())
            names.push_back(name);
    }
    return names;
}

void SettingsReader::checkMember(boost::json::value &value, const std::string &path,
                                 std::vector<Fault> &faults) const
{
    const auto field = std::ranges::find(this->fields, path, &Field::path);
    if (field != this->fields.end()) {
        if (const auto found = findFault(*field, value))
            faults.push_back(Fault{path, describe(*field), *found});
        return;
    }
    if (auto *group = value.if_object())
        this->checkGroup(*group, path + ".", faults);
    else
        faults.push_back(Fault{path, "object", describeFound(value)});
}

void SettingsReader::addDefaults(boost::json::object &group, const std::string &prefix,
                                 std::vector<Fault> &faults) const
{
    for (const std::string_view name : this->memberNames(prefix)) {
        if (group.contains(name))
            continue;
        const std::string path = prefix + std::string(name);
        const auto field = std::ranges::find(this->fields, path, &Field::path);
        if (field == this->fields.end()) {
            boost::json::object inner;
            this->addDefaults(inner, path + ".", faults);
            group.emplace(name, std::move(inner));
        } else if (field->required()) {
            faults.push_back(Fault{path, describe(*field), "nothing"});
        } else {
            boost::system::error_code ignored;
            group.emplace(name, boost::json::parse(field->defaultValue, ignored));
        }
    }
}

void SettingsReader::checkGroup(boost::json::object &group, const std::string &prefix,
                                std::vector<Fault> &faults) const
{
    const auto known = this->memberNames(prefix);
    for (auto &member : group) {
        const std::string name{std::string_view(member.key())};
        if (std::ranges::find(known, name) != known.end()) {
            this->checkMember(member.value(), prefix + name, faults);
            continue;
        }
        const std::string_view similar = closestMatch(name, known);
        const std::string hint
            = similar.empty() ? "" : ", did you mean \"" + std::string(similar) + "\"?";
        faults.push_back(Fault{prefix + name, "no such field", "unknown field" + hint});
    }
    this->addDefaults(group, prefix, faults);
}

boost::leaf::result<SettingsView> SettingsReader::read(std::string_view text) const
{
    std::vector<Fault> faults;
    boost::json::value value = internal::parse(text, faults);
    auto *object = value.if_object();
    if (faults.empty() && object == nullptr)
        faults.push_back(Fault{"", "object", describeFound(value)});
    if (faults.empty())
        this->checkGroup(*object, "", faults);
    if (!faults.empty())
        return boost::leaf::new_error(SettingsFaults{std::move(faults)});
    SettingsView settings(std::move(*object));
    if (this->crossCheck)
        this->crossCheck(settings, faults);
    if (!faults.empty())
        return boost::leaf::new_error(SettingsFaults{std::move(faults)});
    return settings;
}

boost::leaf::result<SettingsView> SettingsReader::readFile(const std::string &path) const
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return boost::leaf::new_error(
            SettingsFaults{{Fault{"", "readable file", "no file " + path}}});
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return this->read(text);
}

} // namespace bulrushgap

#include "service/SettingsView.h"

#include <cassert>

namespace bulrushgap {

const boost::json::value &SettingsView::at(std::string_view path) const
{
    const boost::json::object *group = &this->values;
    std::size_t dot = path.find('.');
    while (dot != std::string_view::npos) {
        const auto *member = group->if_contains(path.substr(0, dot));
        assert(member != nullptr && member->is_object());
        group = member->if_object();
        path.remove_prefix(dot + 1);
        dot = path.find('.');
    }
    const auto *value = group->if_contains(path);
    assert(value != nullptr);
    return *value;
}

std::string SettingsView::text(std::string_view path) const
{
    return std::string(std::string_view(this->at(path).get_string()));
}

std::int64_t SettingsView::integer(std::string_view path) const
{
    return this->at(path).get_int64();
}

double SettingsView::number(std::string_view path) const
{
    return this->at(path).to_number<double>();
}

bool SettingsView::flag(std::string_view path) const
{
    return this->at(path).get_bool();
}

Endpoint SettingsView::endpoint(std::string_view path) const
{
    return Endpoint::parse(std::string_view(this->at(path).get_string())).value_or(Endpoint{});
}

std::vector<Endpoint> SettingsView::endpoints(std::string_view path) const
{
    std::vector<Endpoint> endpoints;
    for (const auto &entry : this->list(path))
        endpoints.push_back(
            Endpoint::parse(std::string_view(entry.get_string())).value_or(Endpoint{}));
    return endpoints;
}

std::vector<std::string> SettingsView::texts(std::string_view path) const
{
    std::vector<std::string> texts;
    for (const auto &entry : this->list(path))
        texts.emplace_back(std::string_view(entry.get_string()));
    return texts;
}

const boost::json::object &SettingsView::object(std::string_view path) const
{
    return this->at(path).get_object();
}

const boost::json::array &SettingsView::list(std::string_view path) const
{
    return this->at(path).get_array();
}

Duration SettingsView::milliseconds(std::string_view path) const
{
    return std::chrono::milliseconds(this->integer(path));
}

} // namespace bulrushgap

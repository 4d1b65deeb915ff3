#include "standin/StandinSettings.h"

#include <boost/json/parse.hpp>

#include <fstream>
#include <iterator>

namespace bulrushgap {

StandinSettings::StandinSettings(const boost::json::value &value, std::string path)
    : path(std::move(path))
{
    if (!value.is_object())
        throw StandinSettingsError(this->path + ": not an object");
    this->object = value.as_object();
}

boost::json::value StandinSettings::load(std::span<const std::string> arguments)
{
    if (arguments.size() != 2 || arguments[0] != "--settings")
        throw StandinSettingsError("arguments: expected --settings FILE");
    std::ifstream file(arguments[1]);
    if (!file)
        throw StandinSettingsError(arguments[1] + ": cannot be read");
    const std::string content{std::istreambuf_iterator<char>(file), {}};
    boost::json::error_code error;
    auto value = boost::json::parse(content, error);
    if (error)
        throw StandinSettingsError(arguments[1] + ": " + error.message());
    return value;
}

const boost::json::value *StandinSettings::find(std::string_view name) const
{
    return this->object.if_contains(boost::json::string_view(name.data(), name.size()));
}

void StandinSettings::fail(std::string_view name, std::string_view fault) const
{
    throw StandinSettingsError(this->path + '.' + std::string(name) + ": " + std::string(fault));
}

std::string StandinSettings::text(std::string_view name) const
{
    const auto *value = this->find(name);
    if (value == nullptr || !value->is_string())
        this->fail(name, "a text is required");
    return {value->as_string().data(), value->as_string().size()};
}

Endpoint StandinSettings::endpoint(std::string_view name) const
{
    const auto parsed = Endpoint::parse(this->text(name));
    if (!parsed)
        this->fail(name, "not of the form a.b.c.d:port");
    return *parsed;
}

std::optional<Endpoint> StandinSettings::optionalEndpoint(std::string_view name) const
{
    return this->find(name) == nullptr ? std::nullopt : std::optional(this->endpoint(name));
}

std::uint64_t StandinSettings::number(std::string_view name, std::uint64_t fallback) const
{
    constexpr std::int64_t limit = 1'000'000'000;
    const auto *value = this->find(name);
    if (value == nullptr)
        return fallback;
    if (!value->is_int64() || value->as_int64() < 0 || value->as_int64() > limit)
        this->fail(name, "not a whole number from 0 to 1000000000");
    return static_cast<std::uint64_t>(value->as_int64());
}

double StandinSettings::share(std::string_view name) const
{
    const auto *value = this->find(name);
    if (value == nullptr)
        return 0;
    boost::json::error_code error;
    const auto share = value->to_number<double>(error);
    if (error || share < 0 || share > 1)
        this->fail(name, "not a share from 0 to 1");
    return share;
}

Duration StandinSettings::milliseconds(std::string_view name, Duration fallback) const
{
    using std::chrono::milliseconds;
    const auto count = std::chrono::duration_cast<milliseconds>(fallback).count();
    return milliseconds(this->number(name, static_cast<std::uint64_t>(count)));
}

std::vector<Endpoint> StandinSettings::endpoints(std::string_view name) const
{
    std::vector<Endpoint> result;
    const auto *value = this->find(name);
    if (value == nullptr)
        return result;
    if (!value->is_array())
        this->fail(name, "not an array");
    for (const auto &each : value->as_array()) {
        const auto parsed
            = each.is_string() ? Endpoint::parse({each.as_string().data(), each.as_string().size()})
                               : std::nullopt;
        if (!parsed)
            this->fail(name, "an element is not of the form a.b.c.d:port");
        result.push_back(*parsed);
    }
    return result;
}

std::vector<StandinSettings> StandinSettings::objects(std::string_view name) const
{
    const auto *value = this->find(name);
    if (value == nullptr || !value->is_array())
        this->fail(name, "an array is required");
    std::vector<StandinSettings> result;
    for (const auto &each : value->as_array())
        result.emplace_back(each, this->path + '.' + std::string(name) + '['
                                      + std::to_string(result.size()) + ']');
    return result;
}

std::optional<bool> StandinSettings::flag(std::string_view name) const
{
    const auto *value = this->find(name);
    if (value == nullptr)
        return std::nullopt;
    if (!value->is_bool())
        this->fail(name, "not true or false");
    return value->as_bool();
}

} // namespace bulrushgap

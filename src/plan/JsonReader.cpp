#include "plan/JsonReader.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::internal {

namespace {

constexpr std::size_t maxFoundTextLength = 60;

std::string describe(const boost::json::value *value)
{
    if (value == nullptr)
        return "nothing";
    std::string text
        = std::string(boost::json::to_string(value->kind())) + ' ' + boost::json::serialize(*value);
    if (text.size() > maxFoundTextLength) {
        text.resize(maxFoundTextLength);
        text += "...";
    }
    return text;
}

} // namespace

JsonReader::JsonReader(const boost::json::value &value, std::string path,
                       std::vector<ObjectFault> &faults)
    : object(value.if_object())
    , path(std::move(path))
    , faults(faults)
{
    if (this->object == nullptr)
        this->fault(this->path, "an object", &value);
}

std::string JsonReader::text(std::string_view key)
{
    const auto *value = this->member(key);
    if (this->object == nullptr)
        return {};
    if (value != nullptr && value->is_string() && !value->get_string().empty())
        return std::string(std::string_view(value->get_string()));
    this->fault(this->pathOf(key), "a string that is not empty", value);
    return {};
}

Endpoint JsonReader::endpoint(std::string_view key)
{
    const auto *value = this->member(key);
    if (this->object == nullptr)
        return {};
    if (value != nullptr && value->is_string()) {
        if (const auto endpoint = Endpoint::parse(std::string_view(value->get_string())))
            return *endpoint;
    }
    this->fault(this->pathOf(key), "an address a.b.c.d:port", value);
    return {};
}

Labels JsonReader::labels(std::string_view key)
{
    Labels labels;
    const auto *value = this->member(key);
    if (value == nullptr)
        return labels;
    if (!value->is_object()) {
        this->fault(this->pathOf(key), "an object of labels", value);
        return labels;
    }
    for (const auto &[name, entry] : value->get_object()) {
        const std::string entryPath = this->pathOf(key) + '.' + std::string(name);
        if (!Labels::isWord(name))
            this->fault(entryPath, "a label key of letters, digits and ._-/", &entry);
        else if (!entry.is_string() || !Labels::isWord(std::string_view(entry.get_string())))
            this->fault(entryPath, "a label value of letters, digits and ._-/", &entry);
        else
            labels.set(name, std::string_view(entry.get_string()));
    }
    return labels;
}

Selector JsonReader::selector(std::string_view key)
{
    const auto *value = this->member(key);
    if (this->object == nullptr)
        return {};
    if (value == nullptr || !value->is_string()) {
        this->fault(this->pathOf(key), "a selector", value);
        return {};
    }
    return boost::leaf::try_handle_all(
        [&]() { return Selector::parse(std::string_view(value->get_string())); },
        [&](const SelectorFault &selectorFault) {
            this->fault(this->pathOf(key),
                        selectorFault.expected + " at offset "
                            + std::to_string(selectorFault.position),
                        value);
            return Selector{};
        },
        [&]() {
            this->fault(this->pathOf(key), "a selector", value);
            return Selector{};
        });
}

bool JsonReader::flag(std::string_view key)
{
    const auto *value = this->member(key);
    if (this->object == nullptr)
        return false;
    if (value != nullptr && value->is_bool())
        return value->get_bool();
    this->fault(this->pathOf(key), "true or false", value);
    return false;
}

std::size_t JsonReader::choice(std::string_view key, std::span<const std::string_view> names)
{
    const auto *value = this->member(key);
    if (this->object == nullptr)
        return 0;
    if (value != nullptr && value->is_string()) {
        const auto found = std::ranges::find(names, std::string_view(value->get_string()));
        if (found != names.end())
            return static_cast<std::size_t>(found - names.begin());
    }
    std::string expected = "one of";
    for (const std::string_view name : names)
        expected += ' ' + std::string(name);
    this->fault(this->pathOf(key), std::move(expected), value);
    return 0;
}

std::uint64_t JsonReader::number(std::string_view key, std::uint64_t minimum, std::uint64_t maximum,
                                 std::uint64_t fallback, Presence presence)
{
    const auto *value = this->member(key);
    if (this->object == nullptr || (value == nullptr && presence == Presence::Optional))
        return fallback;
    if (value != nullptr && (value->is_int64() || value->is_uint64())) {
        boost::json::error_code error;
        const auto number = value->to_number<std::uint64_t>(error);
        if (!error && number >= minimum && number <= maximum)
            return number;
    }
    this->fault(this->pathOf(key),
                "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum),
                value);
    return fallback;
}

void JsonReader::each(std::string_view key, const std::function<void(JsonReader &)> &visit)
{
    const auto *value = this->member(key);
    if (this->object == nullptr)
        return;
    if (value == nullptr || !value->is_array()) {
        this->fault(this->pathOf(key), "an array", value);
        return;
    }
    std::size_t index = 0;
    for (const auto &element : value->get_array()) {
        JsonReader reader(element, this->pathOf(key) + '[' + std::to_string(index) + ']',
                          this->faults);
        visit(reader);
        ++index;
    }
}

boost::json::object JsonReader::unknown() const
{
    boost::json::object rest;
    if (this->object == nullptr)
        return rest;
    for (const auto &[key, value] : *this->object) {
        if (!this->known.contains(std::string_view(key)))
            rest.emplace(key, value);
    }
    return rest;
}

const boost::json::value *JsonReader::member(std::string_view key)
{
    this->known.emplace(key);
    return this->object != nullptr ? this->object->if_contains(key) : nullptr;
}

std::string JsonReader::pathOf(std::string_view key) const
{
    return this->path + '.' + std::string(key);
}

void JsonReader::fault(std::string path, std::string expected, const boost::json::value *found)
{
    this->faults.push_back({std::move(path), std::move(expected), describe(found)});
}

} // namespace bulrushgap::internal

#include "standin/ObjectTable.h"

#include <boost/json/array.hpp>

namespace bulrushgap {

namespace internal {

boost::json::object objectJson(std::string_view key, const ObjectTable::Entry &entry)
{
    return boost::json::object{{"key", key}, {"version", entry.version}, {"value", entry.value}};
}

} // namespace internal

const ObjectTable::Entry *ObjectTable::find(std::string_view key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? nullptr : &found->second;
}

std::uint64_t ObjectTable::version(std::string_view key) const
{
    const Entry *entry = this->find(key);
    return entry == nullptr ? 0 : entry->version;
}

bool ObjectTable::update(std::string_view key, std::uint64_t version,
                         std::optional<boost::json::value> value, TimePoint now)
{
    const Entry *existing = this->find(key);
    if (this->version(key) != version || (!value && existing == nullptr))
        return false;
    Event event{++this->current, now, std::string(key), value, std::nullopt};
    if (existing != nullptr)
        event.previous = *existing;
    this->history.push_back(std::move(event));
    if (this->history.size() > this->historyLimit)
        this->history.pop_front();
    if (value)
        this->objects.insert_or_assign(std::string(key), Entry{this->current, std::move(*value)});
    else
        this->objects.erase(std::string(key));
    return true;
}

boost::json::array ObjectTable::list(std::string_view prefix) const
{
    boost::json::array list;
    for (auto entry = this->objects.lower_bound(prefix);
         entry != this->objects.end() && entry->first.starts_with(prefix); ++entry)
        list.push_back(internal::objectJson(entry->first, entry->second));
    return list;
}

std::optional<boost::json::array> ObjectTable::eventsSince(std::string_view prefix,
                                                           std::uint64_t since) const
{
    const std::uint64_t reach
        = this->history.empty() ? this->current : this->history.front().revision - 1;
    if (since < reach || since > this->current)
        return std::nullopt;
    boost::json::array events;
    for (const Event &event : this->history) {
        if (event.revision <= since || !event.key.starts_with(prefix))
            continue;
        events.push_back(
            boost::json::object{{"key", event.key},
                                {"version", event.revision},
                                {"value", event.value.value_or(boost::json::value(nullptr))}});
    }
    return events;
}

boost::json::array ObjectTable::instancesAt(TimePoint time) const
{
    constexpr std::string_view prefix = "instance/";
    std::map<std::string, std::optional<Entry>, std::less<>> instances;
    for (auto entry = this->objects.lower_bound(prefix);
         entry != this->objects.end() && entry->first.starts_with(prefix); ++entry)
        instances.emplace(entry->first, entry->second);
    for (auto event = this->history.rbegin(); event != this->history.rend() && event->time > time;
         ++event) {
        if (event->key.starts_with(prefix))
            instances.insert_or_assign(event->key, event->previous);
    }
    boost::json::array list;
    for (const auto &[key, entry] : instances) {
        if (entry)
            list.push_back(internal::objectJson(key, *entry));
    }
    return list;
}

} // namespace bulrushgap

#pragma once

#include "base/Time.h"

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Objects, revision counter and bounded history of the platform stand-in; no I/O. */
class ObjectTable
{
public:
    struct Entry
    {
        std::uint64_t version = 0;
        boost::json::value value;
    };

    explicit ObjectTable(std::size_t historyLimit)
        : historyLimit(historyLimit)
    {}

    [[nodiscard]] std::uint64_t revision() const { return this->current; }

    /** \returns the object with the key, or nullptr. */
    [[nodiscard]] const Entry *find(std::string_view key) const;

    /** \returns the version of the object, 0 if there is none. */
    [[nodiscard]] std::uint64_t version(std::string_view key) const;

    /** \brief Writes, or deletes without a value. \returns false if the version is another one. */
    bool update(std::string_view key, std::uint64_t version,
                std::optional<boost::json::value> value, TimePoint now);

    [[nodiscard]] boost::json::array list(std::string_view prefix) const;

    /** \returns events after \a since, or nothing if the history does not reach back. */
    [[nodiscard]] std::optional<boost::json::array> eventsSince(std::string_view prefix,
                                                                std::uint64_t since) const;

    /** \returns the instance objects as they were at \a time, as far as the history reaches. */
    [[nodiscard]] boost::json::array instancesAt(TimePoint time) const;

private:
    struct Event
    {
        std::uint64_t revision = 0;
        TimePoint time;
        std::string key;
        std::optional<boost::json::value> value;
        std::optional<Entry> previous;
    };

    std::size_t historyLimit;
    std::uint64_t current = 0;
    std::map<std::string, Entry, std::less<>> objects;
    std::deque<Event> history;
};

} // namespace bulrushgap

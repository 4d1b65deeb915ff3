#pragma once

#include "base/Endpoint.h"
#include "plan/Labels.h"
#include "plan/ObjectFault.h"
#include "plan/Selector.h"

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::internal {

/** \brief Reads the members of a JSON object and collects all faults, not just the first. */
class JsonReader
{
public:
    enum class Presence : std::uint8_t { Required, Optional };

    /** \brief Reads \a value at JSON path \a path; appends faults to \a faults. */
    JsonReader(const boost::json::value &value, std::string path, std::vector<ObjectFault> &faults);

    /** \returns the member, or an empty or zero value after a fault. */
    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] Endpoint endpoint(std::string_view key);
    [[nodiscard]] Labels labels(std::string_view key);
    [[nodiscard]] Selector selector(std::string_view key);
    [[nodiscard]] bool flag(std::string_view key);

    /** \returns the index of the member's text in \a names. */
    [[nodiscard]] std::size_t choice(std::string_view key, std::span<const std::string_view> names);

    /** \returns the integer; \a fallback if the member is absent and \a presence allows it. */
    [[nodiscard]] std::uint64_t number(std::string_view key, std::uint64_t minimum,
                                       std::uint64_t maximum, std::uint64_t fallback = 0,
                                       Presence presence = Presence::Required);

    /** \brief Calls \a visit for each element of the array member, which must consist of objects.
     */
    void each(std::string_view key, const std::function<void(JsonReader &)> &visit);

    /** \returns the members that have not been read. */
    [[nodiscard]] boost::json::object unknown() const;

private:
    [[nodiscard]] const boost::json::value *member(std::string_view key);
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    void fault(std::string path, std::string expected, const boost::json::value *found);

    const boost::json::object *object;
    std::string path;
    std::vector<ObjectFault> &faults;
    std::set<std::string, std::less<>> known;
};

} // namespace bulrushgap::internal

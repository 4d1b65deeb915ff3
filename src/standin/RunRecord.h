#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Ids of the bookings that ran, over all upstreams of a process. */
class RunRecord
{
public:
    /** \returns whether a booking with the id had run before. */
    bool add(std::string_view id) { return !this->ids.emplace(id).second; }

    [[nodiscard]] bool contains(std::string_view id) const { return this->ids.contains(id); }

private:
    std::set<std::string, std::less<>> ids;
};

} // namespace bulrushgap

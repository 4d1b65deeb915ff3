#pragma once

#include <compare>
#include <cstdint>

namespace bulrushgap {

/** \brief Revision of a store with the era in which it was given out.
 *
 * A store that returns from a copy starts a new era and gives out some revision numbers again, so
 * any revision of a later era is newer than all of an earlier one.
 */
struct StoreRevision
{
    constexpr StoreRevision() = default;

    /** \brief A revision of era 0, that of a store which tells none. */
    constexpr StoreRevision(std::uint64_t number)
        : number(number)
    {}
    constexpr StoreRevision(std::uint64_t era, std::uint64_t number)
        : era(era)
        , number(number)
    {}

    friend constexpr auto operator<=>(const StoreRevision &, const StoreRevision &) = default;

    std::uint64_t era = 0; //!< Rises by one each time the store returns from a copy.
    std::uint64_t number = 0;
};

} // namespace bulrushgap

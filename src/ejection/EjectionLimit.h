#pragma once

#include <algorithm>
#include <cstddef>

namespace bulrushgap {

/** \brief Largest part of the upstreams of a service that may be ejected at a time. */
struct EjectionLimit
{
    std::size_t divisor;      //!< One in this many upstreams, rounded down, but at least one.
    std::size_t minUpstreams; //!< A smaller service loses none.

    [[nodiscard]] constexpr std::size_t of(std::size_t upstreams) const
    {
        return upstreams < this->minUpstreams ? 0
                                              : std::max<std::size_t>(1, upstreams / this->divisor);
    }
};

} // namespace bulrushgap

#pragma once

#include "base/Endpoint.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>

namespace bulrushgap::balance {

/** \brief Moving average of the answer sizes of each route.
 *
 * An upstream that refuses or fails a request answers with a few bytes. The contents of packets are
 * not read, so only the size distinguishes such an answer from the usual one.
 */
class AnswerSizes
{
public:
    /** \brief Adds an answer of \a bytes on \a route.
     *  \returns whether it is much shorter than usual; never before the average is known. */
    bool add(Endpoint route, std::uint32_t bytes);

private:
    struct Average
    {
        double bytes = 0.0;
        std::uint32_t samples = 0; //!< Answers so far, counted until the average is known.
    };

    boost::unordered_flat_map<std::uint64_t, Average> byRoute;
};

} // namespace bulrushgap::balance

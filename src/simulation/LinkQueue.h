#pragma once

#include "base/Time.h"

#include <cstddef>
#include <optional>

namespace bulrushgap::simulation {

/** \brief How fast a link is, and how much may wait for it. */
struct LinkCapacity
{
    unsigned mbps = 0;
    std::size_t queueBytes = 256'000; //!< Datagrams that find more bytes waiting are lost.
};

/** \brief One direction of a link: bytes pass in order at its rate. */
class LinkQueue
{
public:
    explicit LinkQueue(LinkCapacity capacity)
        : capacity(capacity)
    {}

    /** \brief Adds bytes of a connection, whatever waits already.
     * \returns the time until the last one has passed. */
    Duration pushStream(std::size_t bytes, TimePoint now);

    /** \returns the time until the datagram has passed, or nothing if the queue has no room. */
    std::optional<Duration> pushDatagram(std::size_t bytes, TimePoint now);

    /** \returns the time until all that waits has passed. */
    [[nodiscard]] Duration backlog(TimePoint now) const;

private:
    [[nodiscard]] Duration transmissionTime(std::size_t bytes) const;

    LinkCapacity capacity;
    TimePoint freeAt{};
};

} // namespace bulrushgap::simulation

#pragma once

#include "simulation/EventLoop.h"
#include "simulation/LinkQueue.h"
#include "simulation/Links.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace bulrushgap::simulation {

/** \brief What passes a link: a datagram, or bytes of a connection. */
struct Transmission
{
    enum class Kind { Datagram, Stream };

    Kind kind = Kind::Datagram;
    std::size_t bytes = 0;
};

/** \returns a datagram with \a bytes beyond the headers of IP and UDP. */
[[nodiscard]] constexpr Transmission datagramOf(std::size_t bytes)
{
    constexpr std::size_t headerBytes = 28;
    return {Transmission::Kind::Datagram, bytes + headerBytes};
}

/** \brief Carries messages between places: out through the sender's link, in through the other's.
 *
 * Links without a capacity only have the delays, losses and cuts of \c Links.
 */
class Transport
{
public:
    using Callback = EventLoop::Callback;

    Transport(EventLoop &loop, Links &links)
        : loop(loop)
        , links(links)
    {}

    /** \brief Limits the link of a place, in each direction. */
    void limit(const std::string &name, LinkCapacity capacity);

    /** \brief Sends something; \a arrive is called when all of it is there, or never.
     * \param begin called when the first bytes of a stream may be there; may be empty */
    void send(const Place &from, const Place &to, Transmission transmission, Callback arrive,
              Callback begin = {});

    /** \brief Opens a connection and closes it at once; the other place answers.
     * \param answered called when the answer is here, at once without delay on the links. */
    void probe(const Place &from, const Place &to, Callback answered);

    /** \returns the longest time that something took to pass a limited link, waiting included. */
    [[nodiscard]] Duration longestPassage() const { return this->longest; }

private:
    /** \brief The link of a place. */
    struct Link
    {
        LinkQueue out;
        LinkQueue in;
    };

    void leave(const Place &place, Transmission transmission, Callback then);
    void enter(const Place &place, Transmission transmission, Callback then);
    void pass(LinkQueue &queue, Transmission transmission, Callback then);
    [[nodiscard]] Link *linkOf(const Place &place);

    EventLoop &loop;
    Links &links;
    std::map<std::string, Link, std::less<>> limited;
    Duration longest{};
};

} // namespace bulrushgap::simulation

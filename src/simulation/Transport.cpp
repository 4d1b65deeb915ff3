#include "simulation/Transport.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr Duration probeRoundTrip = std::chrono::milliseconds(1);
constexpr Transmission handshake{Transmission::Kind::Stream, 60};

} // namespace internal

void Transport::limit(const std::string &name, LinkCapacity capacity)
{
    this->limited.insert_or_assign(name, Link{LinkQueue(capacity), LinkQueue(capacity)});
}

void Transport::send(const Place &from, const Place &to, Transmission transmission, Callback arrive,
                     Callback begin)
{
    if (!this->links.passes(from, to))
        return;
    // Bytes pass on from link to link, so the first ones are ahead of the rest.
    if (begin)
        this->loop.after(this->links.delay(from, to), std::move(begin));
    this->leave(from, transmission, [this, from, to, transmission, arrive = std::move(arrive)] {
        this->loop.after(this->links.delay(from, to), [this, to, transmission, arrive] {
            this->enter(to, transmission, arrive);
        });
    });
}

void Transport::probe(const Place &from, const Place &to, Callback answered)
{
    const auto answer = [this, from, to, answered = std::move(answered)] {
        this->leave(to, internal::handshake,
                    [this, from, answered] { this->enter(from, internal::handshake, answered); });
    };
    this->leave(from, internal::handshake, [this, to, answer] {
        this->loop.after(internal::probeRoundTrip,
                         [this, to, answer] { this->enter(to, internal::handshake, answer); });
    });
}

void Transport::leave(const Place &place, Transmission transmission, Callback then)
{
    Link *link = this->linkOf(place);
    if (link == nullptr)
        then();
    else
        this->pass(link->out, transmission, std::move(then));
}

void Transport::enter(const Place &place, Transmission transmission, Callback then)
{
    Link *link = this->linkOf(place);
    if (link == nullptr)
        then();
    else
        this->pass(link->in, transmission, std::move(then));
}

void Transport::pass(LinkQueue &queue, Transmission transmission, Callback then)
{
    const TimePoint now = this->loop.now();
    const std::optional<Duration> time = transmission.kind == Transmission::Kind::Stream
                                             ? queue.pushStream(transmission.bytes, now)
                                             : queue.pushDatagram(transmission.bytes, now);
    if (!time)
        return;
    this->longest = std::max(this->longest, *time);
    this->loop.after(*time, std::move(then));
}

Transport::Link *Transport::linkOf(const Place &place)
{
    const auto found = this->limited.find(place.name);
    return found == this->limited.end() ? nullptr : &found->second;
}

} // namespace bulrushgap::simulation

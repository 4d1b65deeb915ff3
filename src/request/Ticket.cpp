#include "request/Ticket.h"

namespace bulrushgap {

namespace internal {

/** \brief Writes consecutive integers in network byte order. */
class TicketWriter
{
public:
    explicit TicketWriter(std::span<std::byte> target)
        : target(target)
    {}

    template <typename Integer>
    void put(Integer value)
    {
        for (std::size_t i = sizeof(Integer); i > 0; --i) {
            this->target.front() = static_cast<std::byte>((value >> (8 * (i - 1))) & 0xffU);
            this->target = this->target.subspan(1);
        }
    }

private:
    std::span<std::byte> target;
};

/** \brief Reads consecutive integers in network byte order. */
class TicketReader
{
public:
    explicit TicketReader(std::span<const std::byte> source)
        : source(source)
    {}

    template <typename Integer>
    Integer get()
    {
        Integer value = 0;
        for (std::size_t i = 0; i < sizeof(Integer); ++i)
            value = static_cast<Integer>((value << 8) | std::to_integer<Integer>(this->source[i]));
        this->source = this->source.subspan(sizeof(Integer));
        return value;
    }

private:
    std::span<const std::byte> source;
};

} // namespace internal

TicketBytes Ticket::encode() const
{
    TicketBytes bytes{};
    internal::TicketWriter writer(bytes);
    writer.put(this->issuer.value);
    writer.put(this->issuerBoot);
    writer.put(this->service.value);
    writer.put(static_cast<std::uint64_t>(this->expiry.time_since_epoch().count()));
    writer.put(this->nonce);
    return bytes;
}

std::optional<Ticket> Ticket::decode(std::span<const std::byte> bytes)
{
    if (bytes.size() != ticketSize)
        return std::nullopt;
    internal::TicketReader reader(bytes);
    Ticket ticket;
    ticket.issuer = InstanceId{reader.get<std::uint16_t>()};
    ticket.issuerBoot = reader.get<std::uint64_t>();
    ticket.service = ServiceId{reader.get<std::uint16_t>()};
    ticket.expiry = TimePoint(Duration(static_cast<Duration::rep>(reader.get<std::uint64_t>())));
    ticket.nonce = reader.get<std::uint32_t>();
    return ticket;
}

} // namespace bulrushgap

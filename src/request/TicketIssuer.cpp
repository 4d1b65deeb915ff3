#include "request/TicketIssuer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <vector>

namespace bulrushgap {

namespace internal {

using TicketMac = std::array<std::byte, ticketMacSize>;

constexpr std::size_t ticketFieldsSize = ticketSize - ticketMacSize;

void append(std::vector<unsigned char> &message, const Endpoint &endpoint)
{
    for (int shift = 24; shift >= 0; shift -= 8)
        message.push_back(static_cast<unsigned char>((endpoint.address >> shift) & 0xffU));
    message.push_back(static_cast<unsigned char>(endpoint.port >> 8));
    message.push_back(static_cast<unsigned char>(endpoint.port & 0xffU));
}

void append(std::vector<unsigned char> &message, std::span<const std::byte> bytes)
{
    for (const std::byte byte : bytes)
        message.push_back(std::to_integer<unsigned char>(byte));
}

/** \returns the truncated HMAC-SHA256 of the ticket fields and the binding. */
TicketMac ticketMac(const TicketKey &key, std::span<const std::byte> fields,
                    const TicketBinding &binding)
{
    std::vector<unsigned char> message;
    append(message, fields);
    append(message, binding.flow.caller);
    append(message, binding.flow.service);
    message.push_back(binding.token.size);
    append(message, binding.token.view());
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), message.data(), message.size(),
         digest.data(), &size);
    TicketMac mac{};
    std::transform(digest.begin(), digest.begin() + ticketMacSize, mac.begin(),
                   [](unsigned char byte) { return static_cast<std::byte>(byte); });
    return mac;
}

} // namespace internal

TicketBytes TicketIssuer::issue(const TicketBinding &binding, ServiceId service, TimePoint now)
{
    Ticket ticket;
    ticket.issuer = this->self;
    ticket.issuerBoot = this->bootId;
    ticket.service = service;
    ticket.expiry = now + this->settings.validity;
    ticket.nonce = static_cast<std::uint32_t>(this->random());
    TicketBytes bytes = ticket.encode();
    const auto fields = std::span<const std::byte>(bytes).first(internal::ticketFieldsSize);
    const auto mac = internal::ticketMac(this->settings.key, fields, binding);
    std::ranges::copy(mac, bytes.begin() + internal::ticketFieldsSize);
    return bytes;
}

TicketCheck TicketIssuer::verify(std::span<const std::byte> bytes, const TicketBinding &binding,
                                 ServiceId service, TimePoint now) const
{
    const auto ticket = Ticket::decode(bytes);
    if (!ticket || ticket->service != service || !this->isAuthentic(bytes, binding))
        return {};
    if (ticket->issuer != this->self)
        return {TicketStatus::ForeignIssuer, *ticket};
    if (ticket->issuerBoot != this->bootId)
        return {TicketStatus::IssuerRestarted, *ticket};
    if (now < ticket->expiry)
        return {TicketStatus::Valid, *ticket};
    const bool recordKept = now < this->recordExpiry(*ticket);
    return {recordKept ? TicketStatus::Expired : TicketStatus::RecordExpired, *ticket};
}

bool TicketIssuer::isAuthentic(std::span<const std::byte> bytes, const TicketBinding &binding) const
{
    const auto fields = bytes.first(internal::ticketFieldsSize);
    const auto mac = bytes.subspan(internal::ticketFieldsSize);
    const auto matches = [&](const TicketKey &key) {
        const auto expected = internal::ticketMac(key, fields, binding);
        return CRYPTO_memcmp(expected.data(), mac.data(), expected.size()) == 0;
    };
    if (matches(this->settings.key))
        return true;
    return this->settings.previousKey && matches(*this->settings.previousKey);
}

} // namespace bulrushgap

#include "request.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace bulrushgap;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{1h};
constexpr ServiceId service{3};
const TicketBinding binding{{{10, 1}, {20, 2}}, Token::from(std::array{std::byte{7}})};

TicketKey keyOf(int seed)
{
    TicketKey key{};
    key.fill(static_cast<std::byte>(seed));
    return key;
}

TicketSettings settingsOf(int key)
{
    TicketSettings settings;
    settings.key = keyOf(key);
    return settings;
}

} // namespace

// Guards against tickets that are accepted for another request or service, after a restart of the
// issuer, or after their expiry.
TEST_CASE("tickets are bound to one request and to the issuer since its start", "[Ticket]")
{
    const auto [name, change, service_, delay, instance, boot, expected]
        = GENERATE(table<std::string, std::function<void(TicketBinding &, TicketBytes &)>, int,
                         Duration, int, int, TicketStatus>({
            {"genuine", [](auto &, auto &) {}, 3, 0s, 1, 9, TicketStatus::Valid},
            {"caller", [](auto &b, auto &) { ++b.flow.caller.port; }, 3, 0s, 1, 9,
             TicketStatus::Invalid},
            {"address", [](auto &b, auto &) { ++b.flow.service.address; }, 3, 0s, 1, 9,
             TicketStatus::Invalid},
            {"token", [](auto &b, auto &) { b.token.size = 2; }, 3, 0s, 1, 9,
             TicketStatus::Invalid},
            {"field", [](auto &, auto &t) { t[23] ^= std::byte{1}; }, 3, 0s, 1, 9,
             TicketStatus::Invalid},
            {"mac", [](auto &, auto &t) { t[39] ^= std::byte{1}; }, 3, 0s, 1, 9,
             TicketStatus::Invalid},
            {"service", [](auto &, auto &) {}, 4, 0s, 1, 9, TicketStatus::Invalid},
            {"expired", [](auto &, auto &) {}, 3, 10s, 1, 9, TicketStatus::Expired},
            {"record expired", [](auto &, auto &) {}, 3, 130s, 1, 9, TicketStatus::RecordExpired},
            {"foreign", [](auto &, auto &) {}, 3, 1h, 2, 9, TicketStatus::ForeignIssuer},
            {"restarted", [](auto &, auto &) {}, 3, 0s, 1, 8, TicketStatus::IssuerRestarted},
        }));
    CAPTURE(name);
    Random random(1);
    TicketIssuer issuer(InstanceId{1}, 9, settingsOf(1), random);
    const TicketIssuer verifier(InstanceId{static_cast<std::uint16_t>(instance)},
                                static_cast<std::uint64_t>(boot), settingsOf(1), random);
    TicketBytes ticket = issuer.issue(binding, service, start);
    TicketBinding request = binding;
    change(request, ticket);
    const ServiceId target{static_cast<std::uint16_t>(service_)};
    REQUIRE(verifier.verify(ticket, request, target, start + delay).status == expected);
    REQUIRE(verifier.verify(std::span(ticket).first(39), request, target, start).status
            == TicketStatus::Invalid);
}

// Guards against a key rotation that invalidates tickets still held by callers.
TEST_CASE("tickets of the previous key are accepted", "[Ticket]")
{
    Random random(1);
    TicketIssuer before(InstanceId{1}, 9, settingsOf(1), random);
    TicketSettings rotated = settingsOf(2);
    const TicketBytes ticket = before.issue(binding, service, start);
    const auto status = [&] {
        const TicketIssuer after(InstanceId{1}, 9, rotated, random);
        return after.verify(ticket, binding, service, start).status;
    };
    REQUIRE(status() == TicketStatus::Invalid);
    rotated.previousKey = keyOf(1);
    REQUIRE(status() == TicketStatus::Valid);
}

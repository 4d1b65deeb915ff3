#include "simulation/UpstreamFleet.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr Duration heartbeatInterval = std::chrono::milliseconds(1'200);
constexpr int leaseHeartbeats = 3;
constexpr Duration registrationDelay = std::chrono::milliseconds(150);
constexpr Duration serveAfterDrain = std::chrono::milliseconds(600); //!< Beyond the drain bound.
constexpr std::uint16_t upstreamPort = 8'080;

std::string hexadecimal(std::uint64_t number)
{
    constexpr int base = 16;
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
    return {digits.data(), end};
}

} // namespace internal

UpstreamFleet::UpstreamFleet(Surroundings &surroundings, const RunSettings &settings,
                             HookFactory hooks)
    : surroundings(surroundings)
    , settings(settings)
    , hooks(std::move(hooks))
{}

std::size_t UpstreamFleet::add(const std::string &service, const std::string &domain, bool cold,
                               std::optional<Endpoint> address)
{
    constexpr std::uint64_t idBits = 0xff'ffff'ffff;
    const std::size_t number = this->members.size();
    FleetMember &member = this->members.emplace_back();
    member.entry.wireId = std::max<std::uint64_t>(1, this->surroundings.random() & idBits);
    member.entry.name = "i-" + internal::hexadecimal(member.entry.wireId);
    member.entry.address = address.value_or(Endpoint{this->nextAddress, internal::upstreamPort});
    if (!address)
        ++this->nextAddress;
    member.entry.service = service;
    member.entry.domain = domain;
    const auto found = std::ranges::find(this->settings.services, service, &ServiceSettings::name);
    member.entry.slots = found == this->settings.services.end() ? 1 : found->slots;
    this->launch(number, cold);
    return number;
}

void UpstreamFleet::launch(std::size_t number, bool cold)
{
    FleetMember &member = this->members.at(number);
    ++member.incarnation;
    const TimePoint now = this->surroundings.loop.now();
    member.entry.startedAtMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    member.entry.slowStart = cold ? UpstreamLimits{}.coldTime : Duration::zero();
    member.entry.state = balance::UpstreamState::Ready;
    member.leavingAckedAt.reset();
    member.model = std::make_unique<UpstreamModel>(this->surroundings.scheduler, member.entry,
                                                   this->limitsOf(member.entry.service),
                                                   this->surroundings.random, this->hooks(number));
    this->byAddress[member.entry.address] = number;
    this->pending.push_back(this->surroundings.scheduler.after(
        internal::registrationDelay, [this, number] { this->enter(number); }));
}

UpstreamLimits UpstreamFleet::limitsOf(const std::string &service) const
{
    UpstreamLimits limits;
    const auto found = std::ranges::find(this->settings.services, service, &ServiceSettings::name);
    if (found != this->settings.services.end())
        limits.connections = found->connectionLimit;
    return limits;
}

void UpstreamFleet::enter(std::size_t number)
{
    FleetMember &member = this->members.at(number);
    if (!member.model || this->away)
        return;
    this->renewedAt[number] = this->surroundings.loop.now();
    this->surroundings.store.put(ViewKind::Upstreams, member.entry.name, member.entry);
    if (member.entry.state == balance::UpstreamState::Ready)
        member.leavingAckedAt.reset();
    else if (!member.leavingAckedAt)
        member.leavingAckedAt = this->surroundings.loop.now();
}

void UpstreamFleet::crash(std::size_t number)
{
    FleetMember &member = this->members.at(number);
    member.model.reset();
    member.disturbedUntil = this->surroundings.loop.now();
}

void UpstreamFleet::restart(std::size_t number)
{
    FleetMember &member = this->members.at(number);
    if (member.model || member.ending || this->byAddress.at(member.entry.address) != number)
        return;
    member.disturbedUntil = this->surroundings.loop.now();
    this->launch(number, true);
}

void UpstreamFleet::drain(std::size_t number)
{
    FleetMember &member = this->members.at(number);
    if (!member.model || std::exchange(member.ending, true))
        return;
    member.entry.state = balance::UpstreamState::Draining;
    member.model->beginDrain();
    this->enter(number);
    // An upstream that can't tell the store goes on serving until it can.
    const Duration stay = this->settings.bounds.drain + internal::serveAfterDrain;
    this->pending.push_back(this->surroundings.scheduler.after(stay, [this, number] {
        FleetMember &leaving = this->members.at(number);
        if (!leaving.leavingAckedAt) {
            leaving.ending = false;
            this->drain(number);
            return;
        }
        leaving.model.reset();
        if (!this->away)
            this->surroundings.store.remove(ViewKind::Upstreams, leaving.entry.name);
    }));
}

void UpstreamFleet::startRegistry()
{
    this->renewLeases();
}

void UpstreamFleet::renewLeases()
{
    const TimePoint now = this->surroundings.loop.now();
    for (std::size_t number = 0; number < this->members.size(); ++number) {
        FleetMember &member = this->members.at(number);
        const Place store{Place::Role::Store, "", "store"};
        const bool reaches
            = member.model && this->surroundings.links.connected(member.place(), store);
        if (reaches && !this->away) {
            this->enter(number);
            continue;
        }
        const auto renewed = this->renewedAt.find(number);
        const bool expires = !this->away || this->lapse;
        if (renewed == this->renewedAt.end() || !expires
            || now - renewed->second < internal::heartbeatInterval * internal::leaseHeartbeats)
            continue;
        this->renewedAt.erase(renewed);
        this->surroundings.store.remove(ViewKind::Upstreams, member.entry.name);
        if (!member.leavingAckedAt)
            member.leavingAckedAt = now;
    }
    this->leaseTimer = this->surroundings.scheduler.after(internal::heartbeatInterval,
                                                          [this] { this->renewLeases(); });
}

void UpstreamFleet::setRegistryAway(bool isAway, bool entriesLapse)
{
    this->away = isAway;
    this->lapse = isAway && entriesLapse;
}

void UpstreamFleet::onRegistryRestored()
{
    const TimePoint now = this->surroundings.loop.now();
    for (std::size_t number = 0; number < this->members.size(); ++number) {
        FleetMember &member = this->members[number];
        if (!this->surroundings.store.revisionOf(ViewKind::Upstreams, member.entry.name))
            continue;
        this->renewedAt[number] = now;
        // The registry lists it again, so that instances may use it until it drains or expires.
        member.leavingAckedAt.reset();
    }
}

std::optional<std::size_t> UpstreamFleet::ownerOf(Endpoint address) const
{
    const auto found = this->byAddress.find(address);
    if (found == this->byAddress.end())
        return std::nullopt;
    return found->second;
}

std::vector<std::size_t> UpstreamFleet::serving(const std::string &service) const
{
    std::vector<std::size_t> numbers;
    for (std::size_t number = 0; number < this->members.size(); ++number) {
        const FleetMember &member = this->members[number];
        if (member.model && !member.ending && (service.empty() || member.entry.service == service))
            numbers.push_back(number);
    }
    return numbers;
}

} // namespace bulrushgap::simulation

#include "directory/UpstreamDirectory.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Identical on all instances, so that each can resolve the tags that another has written. */
constexpr std::uint64_t flowTagKey = 0x6275'6c72'7573'6867;

/** How long entries that are missing after a registry outage stay usable: live upstreams register
 * again within 2 s. */
constexpr Duration reregistrationGrace = std::chrono::milliseconds(2'200);

/** How long a deregistered upstream stays known; flows last a minute at most. */
constexpr Duration discardDelay = std::chrono::minutes(3);

/** \returns the index of a name, which is added if it is missing. Names beyond the largest index
 * are faulty; they share the last one. */
std::uint16_t indexOf(std::string_view name, std::vector<std::string> &names)
{
    const auto found = std::ranges::find(names, name);
    if (found != names.end())
        return static_cast<std::uint16_t>(found - names.begin());
    if (names.size() < std::numeric_limits<std::uint16_t>::max())
        names.emplace_back(name);
    return static_cast<std::uint16_t>(names.size() - 1);
}

} // namespace internal

std::string_view toString(DirectoryChange::Kind kind)
{
    switch (kind) {
    case DirectoryChange::Kind::Added:
        return "added";
    case DirectoryChange::Kind::Restarted:
        return "restarted";
    case DirectoryChange::Kind::Draining:
        return "draining";
    case DirectoryChange::Kind::Ready:
        return "ready";
    case DirectoryChange::Kind::Deregistered:
        return "unlisted";
    case DirectoryChange::Kind::Changed:
        return "changed";
    }
    return "unknown";
}

UpstreamDirectory::UpstreamDirectory(ChangeHandler onChange)
    : onChange(std::move(onChange))
    , tagHash(internal::flowTagKey)
{}

void UpstreamDirectory::registryRecovered(TimePoint now)
{
    this->extendGrace(now + internal::reregistrationGrace);
}

void UpstreamDirectory::replaceAll(std::span<const RegistryEntry> entries, TimePoint now,
                                   RegistryOrigin origin)
{
    if (!this->firstGraceEndsAt)
        this->firstGraceEndsAt = now + internal::reregistrationGrace;
    std::set<std::string_view> names;
    for (const RegistryEntry &entry : entries)
        names.insert(entry.entry.name);
    for (UpstreamIndex index = 0; index < this->upstreams.size(); ++index) {
        const Upstream &upstream = this->upstreams[index];
        if (upstream.registered && !names.contains(upstream.entry.name))
            this->deregister(index, now);
    }
    this->outdated.clear();
    for (const RegistryEntry &entry : entries)
        this->apply(entry, now, origin);
    this->rebuildCandidates();
}

void UpstreamDirectory::update(std::span<const RegistryChange> changes, TimePoint now,
                               RegistryOrigin origin)
{
    for (const RegistryChange &change : changes) {
        if (change.entry)
            this->apply({*change.entry, change.revision}, now, origin);
        else
            this->remove(change.name, change.revision, now);
    }
    if (!changes.empty())
        this->rebuildCandidates();
}

void UpstreamDirectory::apply(const RegistryEntry &entry, TimePoint now, RegistryOrigin origin)
{
    const auto found = this->byName.find(entry.entry.name);
    if (found == this->byName.end()) {
        this->add(entry, now);
        return;
    }
    const UpstreamIndex index = found->second;
    if (origin == RegistryOrigin::Copy && this->isOutdated(index, entry.entry)) {
        this->outdated.insert_or_assign(index, entry);
        return;
    }
    this->outdated.erase(index);
    this->replace(index, entry, now);
}

bool UpstreamDirectory::isOutdated(UpstreamIndex index, const UpstreamEntry &entry) const
{
    const Upstream &upstream = this->upstreams[index];
    if (upstream.entry.startedAtMs != entry.startedAtMs)
        return false;
    const bool left = !upstream.registered && !this->inGracePeriod.contains(index);
    const bool drains = upstream.entry.state == UpstreamState::Draining;
    return left || (drains && entry.state == UpstreamState::Ready);
}

std::optional<RegistryEntry> UpstreamDirectory::listedEntry(UpstreamIndex index) const
{
    const auto found = this->outdated.find(index);
    if (found != this->outdated.end())
        return found->second;
    const Upstream &upstream = this->upstreams[index];
    if (!upstream.registered)
        return std::nullopt;
    return RegistryEntry{upstream.entry, upstream.revision};
}

void UpstreamDirectory::applyOutdated(TimePoint now)
{
    for (const auto &[index, entry] : std::exchange(this->outdated, {}))
        this->replace(index, entry, now);
}

void UpstreamDirectory::add(const RegistryEntry &entry, TimePoint now)
{
    const UpstreamIndex index = this->allocateIndex();
    Upstream &upstream = this->upstreams[index];
    upstream.registered = true;
    upstream.entry = entry.entry;
    this->indexEntry(upstream);
    upstream.revision = entry.revision;
    upstream.coldUntil = now + entry.entry.slowStart;
    this->byName.emplace(entry.entry.name, index);
    this->indexTag(index);
    this->notify(DirectoryChange::Kind::Added, index);
}

UpstreamIndex UpstreamDirectory::allocateIndex()
{
    if (this->freeIndexes.empty()) {
        this->upstreams.emplace_back();
        return static_cast<UpstreamIndex>(this->upstreams.size() - 1);
    }
    const UpstreamIndex index = this->freeIndexes.back();
    this->freeIndexes.pop_back();
    return index;
}

void UpstreamDirectory::replace(UpstreamIndex index, const RegistryEntry &entry, TimePoint now)
{
    Upstream &upstream = this->upstreams[index];
    if (entry.revision.number != 0 && entry.revision < upstream.revision)
        return;
    const bool wasRegistered = std::exchange(upstream.registered, true);
    this->inGracePeriod.erase(index);
    // The upstream has registered again, as this or another incarnation, so its entry shows whether
    // it is cold.
    if (!wasRegistered && entry.revision > upstream.revision)
        upstream.coldReturn.reset();
    upstream.revision = entry.revision;
    if (wasRegistered && upstream.entry == entry.entry)
        return;
    const bool restarted = upstream.entry.startedAtMs != entry.entry.startedAtMs;
    const UpstreamState stateBefore = upstream.entry.state;
    upstream.entry = entry.entry;
    this->indexEntry(upstream);
    if (entry.entry.slowStart > Duration::zero())
        upstream.coldUntil = std::max(upstream.coldUntil, now + entry.entry.slowStart);
    if (restarted) {
        upstream.health.reset();
        upstream.capacity = {};
        upstream.reportedCapacity = 1.0;
        upstream.coldReturn.reset();
        this->notify(DirectoryChange::Kind::Restarted, index);
    } else if (entry.entry.state == stateBefore) {
        this->notify(wasRegistered ? DirectoryChange::Kind::Changed : DirectoryChange::Kind::Added,
                     index);
    } else {
        this->notify(entry.entry.state == UpstreamState::Draining ? DirectoryChange::Kind::Draining
                                                                  : DirectoryChange::Kind::Ready,
                     index);
    }
}

void UpstreamDirectory::remove(std::string_view name, StoreRevision revision, TimePoint now)
{
    const auto found = this->byName.find(name);
    if (found == this->byName.end())
        return;
    this->outdated.erase(found->second);
    if (!this->upstreams[found->second].registered)
        return;
    if (revision.number != 0 && revision < this->upstreams[found->second].revision)
        return;
    this->deregister(found->second, now);
}

void UpstreamDirectory::deregister(UpstreamIndex index, TimePoint now)
{
    Upstream &upstream = this->upstreams[index];
    upstream.registered = false;
    upstream.deregisteredAt = now;
    if (now < this->graceEndsAt)
        this->inGracePeriod.insert(index);
    this->notify(DirectoryChange::Kind::Deregistered, index);
}

void UpstreamDirectory::expire(TimePoint now)
{
    this->discardDeparted(now);
    const bool pending = !this->inGracePeriod.empty() || !this->outdated.empty();
    if (!pending || now < this->graceEndsAt)
        return;
    this->inGracePeriod.clear();
    this->applyOutdated(now);
    this->rebuildCandidates();
}

void UpstreamDirectory::discardDeparted(TimePoint now)
{
    for (UpstreamIndex index = 0; index < this->upstreams.size(); ++index) {
        const Upstream &upstream = this->upstreams[index];
        const bool known = !upstream.entry.name.empty();
        const bool inUse = upstream.openFlows > 0 || upstream.isMonitored;
        if (known && !upstream.registered && !inUse
            && now - upstream.deregisteredAt > internal::discardDelay)
            this->discard(index);
    }
}

void UpstreamDirectory::discard(UpstreamIndex index)
{
    Upstream &upstream = this->upstreams[index];
    this->byName.erase(upstream.entry.name);
    const auto tagged = this->byTag.find(upstream.flowTag);
    if (tagged != this->byTag.end() && tagged->second == index)
        this->byTag.erase(tagged);
    this->inGracePeriod.erase(index);
    this->outdated.erase(index);
    upstream = Upstream{};
    upstream.registered = false;
    this->freeIndexes.push_back(index);
}

void UpstreamDirectory::indexTag(UpstreamIndex index)
{
    Upstream &upstream = this->upstreams[index];
    upstream.flowTag = std::max(
        1U, static_cast<std::uint32_t>(this->tagHash(std::string_view(upstream.entry.name))));
    const auto [found, inserted] = this->byTag.emplace(upstream.flowTag, index);
    if (inserted)
        return;
    // No flow may start with a tag that identifies two upstreams.
    upstream.tagIsAmbiguous = true;
    this->upstreams[found->second].tagIsAmbiguous = true;
}

void UpstreamDirectory::indexEntry(Upstream &upstream)
{
    upstream.domainIndex = internal::indexOf(upstream.entry.domain, this->domains);
    upstream.serviceIndex = internal::indexOf(upstream.entry.service, this->services);
}

void UpstreamDirectory::rebuildCandidates()
{
    for (auto &[service, indexes] : this->byService)
        indexes.clear();
    std::set<Endpoint> registeredAddresses;
    for (const Upstream &upstream : this->upstreams) {
        if (upstream.registered)
            registeredAddresses.insert(upstream.entry.address);
    }
    for (Upstream &upstream : this->upstreams)
        upstream.replaced
            = !upstream.registered && registeredAddresses.contains(upstream.entry.address);
    for (UpstreamIndex index = 0; index < this->upstreams.size(); ++index) {
        if (this->eligibility(index) == Eligibility::Eligible)
            this->byService[this->upstreams[index].entry.service].push_back(index);
    }
}

Eligibility UpstreamDirectory::eligibility(UpstreamIndex index) const
{
    const Upstream &upstream = this->upstreams[index];
    if (!upstream.registered && !this->inGracePeriod.contains(index))
        return Eligibility::Unregistered;
    if (upstream.entry.state != UpstreamState::Ready)
        return Eligibility::Draining;
    if (upstream.tagIsAmbiguous)
        return Eligibility::AmbiguousTag;
    return this->isEvacuated(upstream.entry.domain) ? Eligibility::Evacuated
                                                    : Eligibility::Eligible;
}

void UpstreamDirectory::setEvacuated(std::string_view domain, bool isEvacuated)
{
    if (isEvacuated)
        this->evacuated.insert(std::string(domain));
    else
        this->evacuated.erase(std::string(domain));
    this->rebuildCandidates();
}

bool UpstreamDirectory::isEvacuated(std::string_view domain) const
{
    return this->evacuated.contains(domain);
}

UpstreamIndex UpstreamDirectory::findByTag(std::uint32_t flowTag) const
{
    const auto found = this->byTag.find(flowTag);
    return found == this->byTag.end() ? noUpstream : found->second;
}

std::span<const UpstreamIndex> UpstreamDirectory::candidates(std::string_view service) const
{
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? std::span<const UpstreamIndex>() : found->second;
}

std::size_t UpstreamDirectory::registeredCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->upstreams, [](const Upstream &upstream) { return upstream.registered; }));
}

DomainSize UpstreamDirectory::domainSize(DomainIndex domain) const
{
    DomainSize size;
    std::set<ServiceIndex> found;
    for (const Upstream &upstream : this->upstreams) {
        if (!upstream.registered || upstream.domainIndex != domain)
            continue;
        ++size.upstreams;
        found.insert(upstream.serviceIndex);
    }
    size.services = found.size();
    return size;
}

void UpstreamDirectory::notify(DirectoryChange::Kind kind, UpstreamIndex index)
{
    if (this->onChange)
        this->onChange(DirectoryChange{kind, index});
}

} // namespace bulrushgap::balance

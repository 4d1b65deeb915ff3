#include "directory/UpstreamDirectory.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** The same on all instances, so that each reads the tags that another has written. */
constexpr std::uint64_t flowTagKey = 0x6275'6c72'7573'6867;

/** How long entries that are missing after an outage stay usable: live upstreams register again
 * within two seconds. */
constexpr Duration lapseGrace = std::chrono::milliseconds(2'200);

/** How long an upstream stays known after it left; flows live a minute at most. */
constexpr Duration forgetDelay = std::chrono::minutes(3);

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
    case DirectoryChange::Kind::Unlisted:
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

void UpstreamDirectory::registryReturned(TimePoint now)
{
    this->lapseEndsAt = now + internal::lapseGrace;
}

void UpstreamDirectory::replaceAll(std::span<const RegistryEntry> entries, TimePoint now)
{
    std::set<std::string_view> names;
    for (const RegistryEntry &entry : entries)
        names.insert(entry.entry.name);
    for (UpstreamIndex index = 0; index < this->upstreams.size(); ++index) {
        const Upstream &upstream = this->upstreams[index];
        if (upstream.listed && !names.contains(upstream.entry.name))
            this->unlist(index, now);
    }
    for (const RegistryEntry &entry : entries)
        this->apply(entry, now);
    this->rebuildCandidates();
}

void UpstreamDirectory::update(std::span<const RegistryChange> changes, TimePoint now)
{
    for (const RegistryChange &change : changes) {
        if (change.entry)
            this->apply({*change.entry, change.revision}, now);
        else
            this->remove(change.name, change.revision, now);
    }
    if (!changes.empty())
        this->rebuildCandidates();
}

void UpstreamDirectory::apply(const RegistryEntry &entry, TimePoint now)
{
    const auto found = this->byName.find(entry.entry.name);
    if (found == this->byName.end())
        this->add(entry, now);
    else
        this->replace(found->second, entry, now);
}

void UpstreamDirectory::add(const RegistryEntry &entry, TimePoint now)
{
    const UpstreamIndex index = this->newIndex();
    Upstream &upstream = this->upstreams[index];
    upstream.listed = true;
    upstream.entry = entry.entry;
    upstream.revision = entry.revision;
    upstream.coldUntil = now + entry.entry.slowStart;
    this->byName.emplace(entry.entry.name, index);
    this->indexTag(index);
    this->announce(DirectoryChange::Kind::Added, index);
}

UpstreamIndex UpstreamDirectory::newIndex()
{
    if (this->unused.empty()) {
        this->upstreams.emplace_back();
        return static_cast<UpstreamIndex>(this->upstreams.size() - 1);
    }
    const UpstreamIndex index = this->unused.back();
    this->unused.pop_back();
    return index;
}

void UpstreamDirectory::replace(UpstreamIndex index, const RegistryEntry &entry, TimePoint now)
{
    Upstream &upstream = this->upstreams[index];
    if (entry.revision != 0 && entry.revision < upstream.revision)
        return;
    const bool wasListed = std::exchange(upstream.listed, true);
    this->lapsed.erase(index);
    upstream.revision = entry.revision;
    if (wasListed && upstream.entry == entry.entry)
        return;
    const bool restarted = upstream.entry.startedAtMs != entry.entry.startedAtMs;
    const UpstreamState stateBefore = upstream.entry.state;
    upstream.entry = entry.entry;
    if (entry.entry.slowStart > Duration::zero())
        upstream.coldUntil = std::max(upstream.coldUntil, now + entry.entry.slowStart);
    if (restarted) {
        upstream.health.reset();
        this->announce(DirectoryChange::Kind::Restarted, index);
    } else if (entry.entry.state == stateBefore) {
        this->announce(wasListed ? DirectoryChange::Kind::Changed : DirectoryChange::Kind::Added,
                       index);
    } else {
        this->announce(entry.entry.state == UpstreamState::Draining
                           ? DirectoryChange::Kind::Draining
                           : DirectoryChange::Kind::Ready,
                       index);
    }
}

void UpstreamDirectory::remove(std::string_view name, std::uint64_t revision, TimePoint now)
{
    const auto found = this->byName.find(name);
    if (found == this->byName.end() || !this->upstreams[found->second].listed)
        return;
    if (revision != 0 && revision < this->upstreams[found->second].revision)
        return;
    this->unlist(found->second, now);
}

void UpstreamDirectory::unlist(UpstreamIndex index, TimePoint now)
{
    Upstream &upstream = this->upstreams[index];
    upstream.listed = false;
    upstream.unlistedAt = now;
    if (now < this->lapseEndsAt)
        this->lapsed.insert(index);
    this->announce(DirectoryChange::Kind::Unlisted, index);
}

void UpstreamDirectory::expire(TimePoint now)
{
    this->forgetGone(now);
    if (this->lapsed.empty() || now < this->lapseEndsAt)
        return;
    this->lapsed.clear();
    this->rebuildCandidates();
}

void UpstreamDirectory::forgetGone(TimePoint now)
{
    for (UpstreamIndex index = 0; index < this->upstreams.size(); ++index) {
        const Upstream &upstream = this->upstreams[index];
        const bool known = !upstream.entry.name.empty();
        const bool inUse = upstream.openFlows > 0 || upstream.underWatch;
        if (known && !upstream.listed && !inUse
            && now - upstream.unlistedAt > internal::forgetDelay)
            this->forget(index);
    }
}

void UpstreamDirectory::forget(UpstreamIndex index)
{
    Upstream &upstream = this->upstreams[index];
    this->byName.erase(upstream.entry.name);
    const auto tagged = this->byTag.find(upstream.flowTag);
    if (tagged != this->byTag.end() && tagged->second == index)
        this->byTag.erase(tagged);
    this->lapsed.erase(index);
    upstream = Upstream{};
    upstream.listed = false;
    this->unused.push_back(index);
}

void UpstreamDirectory::indexTag(UpstreamIndex index)
{
    Upstream &upstream = this->upstreams[index];
    upstream.flowTag = std::max(
        1U, static_cast<std::uint32_t>(this->tagHash(std::string_view(upstream.entry.name))));
    const auto [found, inserted] = this->byTag.emplace(upstream.flowTag, index);
    if (inserted)
        return;
    // No flow may start with a tag that names two upstreams.
    upstream.tagIsAmbiguous = true;
    this->upstreams[found->second].tagIsAmbiguous = true;
}

void UpstreamDirectory::rebuildCandidates()
{
    for (auto &[service, indexes] : this->byService)
        indexes.clear();
    std::set<Endpoint> listedAddresses;
    for (const Upstream &upstream : this->upstreams) {
        if (upstream.listed)
            listedAddresses.insert(upstream.entry.address);
    }
    for (Upstream &upstream : this->upstreams)
        upstream.replaced = !upstream.listed && listedAddresses.contains(upstream.entry.address);
    for (UpstreamIndex index = 0; index < this->upstreams.size(); ++index) {
        const Upstream &upstream = this->upstreams[index];
        const bool usable = upstream.listed || this->lapsed.contains(index);
        if (!usable || upstream.entry.state != UpstreamState::Ready || upstream.tagIsAmbiguous)
            continue;
        if (this->isEvacuated(upstream.entry.domain))
            continue;
        this->byService[upstream.entry.service].push_back(index);
    }
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

std::size_t UpstreamDirectory::listedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->upstreams, [](const Upstream &upstream) { return upstream.listed; }));
}

void UpstreamDirectory::announce(DirectoryChange::Kind kind, UpstreamIndex index)
{
    if (this->onChange)
        this->onChange(DirectoryChange{kind, index});
}

} // namespace bulrushgap::balance

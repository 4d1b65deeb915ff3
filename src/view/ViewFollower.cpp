#include "view/ViewFollower.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

constexpr WatchRetry viewRetry{std::chrono::milliseconds(15), std::chrono::milliseconds(500),
                               std::chrono::milliseconds(200)};

/** Minimum interval between full reads of the registry that unknown flow tags trigger. */
constexpr Duration minVerificationInterval = std::chrono::seconds(1);

/** \returns the event's value if it has one of this type, or nullptr. */
template <typename Value>
const Value *valueOf(const ViewEvent &event)
{
    return event.value ? std::get_if<Value>(&*event.value) : nullptr;
}

/** A view that the store has not confirmed for this long may be followed by a registry in which
 * entries have lapsed. */
constexpr Duration maxConfirmedAge = std::chrono::seconds(3);

RegistryChange changeOf(const ViewEvent &event)
{
    RegistryChange change{event.key, event.version, std::nullopt};
    if (const auto *entry = valueOf<UpstreamEntry>(event))
        change.entry = *entry;
    return change;
}

/** \returns the upstreams among the objects, without malformed ones. */
std::vector<RegistryEntry> entriesOf(std::span<const ViewEvent> events)
{
    std::vector<RegistryEntry> entries;
    for (const ViewEvent &event : events) {
        if (const auto *entry = valueOf<UpstreamEntry>(event))
            entries.push_back({*entry, event.version});
    }
    return entries;
}

/** \returns the changes that lead readers who know all up to \a base to the objects of a complete
 * update, so that they need not list all objects again.
 * \param before names of the objects that they may know */
ViewUpdate changesSince(std::set<std::string> before, StoreRevision base,
                        const ViewUpdate &complete)
{
    ViewUpdate changes{false, complete.revision, {}};
    for (const ViewEvent &event : complete.events) {
        const bool known = before.erase(event.key) > 0;
        // A read of the registry may have told this instance of a change that it has not passed on.
        if (!known || event.version > base)
            changes.events.push_back(event);
    }
    for (const std::string &key : before)
        changes.events.push_back({key, complete.revision, std::nullopt});
    return changes;
}

} // namespace internal

ViewFollower::ViewFollower(const Scheduler &scheduler, SourcedStore &store, Random &random,
                           ViewTargets targets, Counters &counters, Log &log,
                           ChangeHandler onChange)
    : scheduler(scheduler)
    , store(store)
    , targets(targets)
    , counters(counters)
    , log(log)
    , onChange(std::move(onChange))
    , malformedObjects(counters, log)
    , eras(scheduler, targets.directory, counters, log,
           [this](const std::set<std::string> &domains) { this->onHeldEvacuationsEnded(domains); })
    , upstreamWatch(
          scheduler, store, random, ViewKind::Upstreams,
          [this](const ViewUpdate &update) { this->onUpstreams(update); },
          [this](bool reachable) { this->onReachable(ViewKind::Upstreams, reachable); },
          internal::viewRetry)
    , configurationWatch(
          scheduler, store, random, ViewKind::Configurations,
          [this](const ViewUpdate &update) { this->onConfiguration(update); },
          [this](bool reachable) { this->onReachable(ViewKind::Configurations, reachable); },
          internal::viewRetry)
    , evacuationWatch(
          scheduler, store, random, ViewKind::Evacuations,
          [this](const ViewUpdate &update) { this->onEvacuations(update); },
          [this](bool reachable) { this->onReachable(ViewKind::Evacuations, reachable); },
          internal::viewRetry)
    , memberWatch(
          scheduler, store, random, ViewKind::Members,
          [this](const ViewUpdate &update) { this->onMembers(update); },
          [this](bool reachable) { this->onReachable(ViewKind::Members, reachable); },
          internal::viewRetry)
{}

void ViewFollower::start()
{
    this->memberWatch.start();
}

bool ViewFollower::isComplete() const
{
    return this->upstreamsKnown && this->evacuationsKnown && this->targets.routes.isLoaded();
}

void ViewFollower::onUpstreams(const ViewUpdate &update)
{
    this->malformedObjects.report(ViewKind::Upstreams, update);
    const TimePoint now = this->scheduler.now();
    std::set<std::string> before = this->namesBefore(update, ViewKind::Upstreams);
    const bool restored = this->eras.onUpdate(ViewKind::Upstreams, update.revision);
    const RegistryOrigin origin = restored ? RegistryOrigin::Copy : RegistryOrigin::Current;
    if (update.complete)
        this->targets.directory.replaceAll(internal::entriesOf(update.events), now, origin);
    else
        this->applyChanges(update, origin);
    this->upstreamsKnown = true;
    this->upstreamsRevision = std::max(this->upstreamsRevision, update.revision);
    this->targets.steering.refreshColdBudgets();
    this->publish(ViewKind::Upstreams, std::move(before), update);
    this->onChange();
}

void ViewFollower::applyChanges(const ViewUpdate &update, RegistryOrigin origin)
{
    std::vector<RegistryChange> changes;
    changes.reserve(update.events.size());
    for (const ViewEvent &event : update.events)
        changes.push_back(internal::changeOf(event));
    // Another instance also passes on what it has learnt before the store returned from a copy.
    const auto copy = std::ranges::partition_point(changes, [&](const RegistryChange &change) {
        return change.revision.era < update.revision.era;
    });
    const TimePoint now = this->scheduler.now();
    this->targets.directory.update({changes.begin(), copy}, now);
    this->targets.directory.update({copy, changes.end()}, now, origin);
}

void ViewFollower::onConfiguration(const ViewUpdate &update)
{
    this->malformedObjects.report(ViewKind::Configurations, update);
    std::set<std::string> before = this->namesBefore(update, ViewKind::Configurations);
    static_cast<void>(this->eras.onUpdate(ViewKind::Configurations, update.revision));
    for (const ViewEvent &event : update.events) {
        const auto *next = internal::valueOf<ConfigurationPtr>(event);
        if (next == nullptr)
            continue;
        const std::uint64_t versionBefore = this->targets.routes.version();
        if (!this->targets.routes.update(*next, this->scheduler.now()))
            continue;
        this->configuration = ViewItem{event.key, event.version, *next};
        this->targets.steering.refreshColdBudgets();
        this->log.info("configuration_in_force", {{"version", this->targets.routes.version()},
                                                  {"before", versionBefore},
                                                  {"revision", event.version.number},
                                                  {"routes", this->targets.routes.size()}});
    }
    this->publish(ViewKind::Configurations, std::move(before), update);
    this->onChange();
}

void ViewFollower::onEvacuations(const ViewUpdate &update)
{
    this->malformedObjects.report(ViewKind::Evacuations, update);
    std::set<std::string> before = this->namesBefore(update, ViewKind::Evacuations);
    const bool restored = this->eras.onUpdate(ViewKind::Evacuations, update.revision);
    std::map<std::string, StoreRevision> next;
    if (!update.complete)
        next = this->evacuated;
    for (const ViewEvent &event : update.events) {
        if (event.key.empty())
            continue;
        // A malformed evacuation is in force: its key names the domain, and to place new flows in
        // an evacuated domain is worse than to place none in another.
        if (event.value)
            next[event.key] = event.version;
        else
            next.erase(event.key);
    }
    const auto evacuatedBefore = std::exchange(this->evacuated, std::move(next));
    for (const auto &[domain, revision] : evacuatedBefore) {
        if (this->evacuated.contains(domain))
            continue;
        if (restored)
            this->eras.holdEvacuation(domain);
        else
            this->applyEvacuation(domain, false);
    }
    for (const auto &[domain, revision] : this->evacuated) {
        const bool inForce
            = evacuatedBefore.contains(domain) || this->eras.releaseEvacuation(domain);
        if (!inForce)
            this->applyEvacuation(domain, true);
    }
    this->evacuationsKnown = true;
    this->publish(ViewKind::Evacuations, std::move(before), update);
    this->onChange();
}

void ViewFollower::onMembers(const ViewUpdate &update)
{
    this->malformedObjects.report(ViewKind::Members, update);
    std::set<std::string> before = this->namesBefore(update, ViewKind::Members);
    static_cast<void>(this->eras.onUpdate(ViewKind::Members, update.revision));
    if (update.complete)
        this->members.clear();
    for (const ViewEvent &event : update.events) {
        this->members.erase(event.key);
        if (const auto *member = internal::valueOf<Member>(event))
            this->members.emplace(event.key, MemberEntry{*member, event.version});
    }
    std::vector<Member> all;
    for (const auto &[name, entry] : this->members)
        all.push_back(entry.member);
    this->targets.sources.update(all, this->scheduler.now());
    this->targets.sweeper.update(this->members);
    this->targets.steering.setInstancesPerDomain(this->targets.sources.instancesInDomain());
    if (!std::exchange(this->membersKnown, true)) {
        // The other kinds may be read from another instance, so the members must be known first.
        this->configurationWatch.start();
        this->upstreamWatch.start();
        this->evacuationWatch.start();
    }
    this->publish(ViewKind::Members, std::move(before), update);
    this->onChange();
}

std::set<std::string> ViewFollower::namesBefore(const ViewUpdate &update, ViewKind kind) const
{
    std::set<std::string> names;
    if (!update.complete)
        return names;
    for (ViewItem &item : this->snapshot(kind))
        names.insert(std::move(item.key));
    return names;
}

void ViewFollower::publish(ViewKind kind, std::set<std::string> before, const ViewUpdate &update)
{
    ObjectMirror &mirror = this->targets.mirror;
    if (!update.complete || !mirror.isLoaded(kind)) {
        mirror.apply(kind, update);
        return;
    }
    const StoreRevision base = mirror.revision(kind);
    mirror.applyDifference(kind, internal::changesSince(std::move(before), base, update));
}

void ViewFollower::verifyUpstreams(ObjectSource &registry)
{
    const TimePoint now = this->scheduler.now();
    if (now - this->lastVerificationAt < internal::minVerificationInterval)
        return;
    this->lastVerificationAt = now;
    registry.list(ViewKind::Upstreams, [this, now](const ViewList &list) {
        this->log.info("registry_verified", {{"result", toString(list.result)},
                                             {"revision", list.revision.number},
                                             {"entries", list.objects.size()}});
        if (list.result == PlatformResult::Ok)
            this->applyVerification(list, now);
        else
            this->verificationFailed = true;
    });
}

void ViewFollower::applyVerification(const ViewList &list, TimePoint startedAt)
{
    this->eras.onRevision(list.revision);
    const bool wasAway = std::exchange(this->verificationFailed, false) || !this->upstreamsReachable
                         || this->store.age() > internal::maxConfirmedAge;
    if (wasAway)
        this->targets.directory.registryRecovered(this->scheduler.now());
    // An older list says nothing about upstreams that have registered since, and the first of a
    // later era is taken from the watch.
    if (list.revision < this->upstreamsRevision || list.revision.era != this->upstreamsRevision.era)
        return;
    std::vector<RegistryChange> changes;
    for (const ViewItem &item : list.objects) {
        if (const auto *entry = std::get_if<UpstreamEntry>(&item.value))
            changes.push_back({item.key, item.version, *entry});
    }
    const bool grace = this->scheduler.now() < this->targets.directory.graceEnd();
    this->targets.directory.update(changes, this->scheduler.now(),
                                   grace ? RegistryOrigin::Copy : RegistryOrigin::Current);
    this->targets.steering.registryVerified(startedAt);
}

std::vector<ViewItem> ViewFollower::snapshot(ViewKind kind) const
{
    std::vector<ViewItem> items;
    switch (kind) {
    case ViewKind::Upstreams:
        for (UpstreamIndex index = 0; index < this->targets.directory.size(); ++index) {
            if (const auto listed = this->targets.directory.listedEntry(index))
                items.push_back({listed->entry.name, listed->revision, listed->entry});
        }
        break;
    case ViewKind::Configurations:
        if (this->configuration)
            items.push_back(*this->configuration);
        break;
    case ViewKind::Evacuations:
        for (const auto &[domain, revision] : this->evacuated)
            items.push_back({domain, revision, Evacuation{}});
        break;
    case ViewKind::Members:
        for (const auto &[name, entry] : this->members)
            items.push_back({name, entry.revision, entry.member});
        break;
    }
    return items;
}

bool ViewFollower::hasMember(const Member &member) const
{
    const auto found = this->members.find(member.name);
    return found != this->members.end() && found->second.member == member;
}

void ViewFollower::applyEvacuation(const std::string &domain, bool isEvacuated)
{
    this->targets.directory.setEvacuated(domain, isEvacuated);
    if (!isEvacuated)
        this->targets.steering.markDomainCold(domain, this->scheduler.now());
    this->log.info(isEvacuated ? "domain_evacuated" : "domain_returned", {{"domain", domain}});
}

void ViewFollower::onHeldEvacuationsEnded(const std::set<std::string> &domains)
{
    for (const std::string &domain : domains)
        this->applyEvacuation(domain, false);
    this->onChange();
}

std::optional<TimePoint> ViewFollower::registryConfirmedAt() const
{
    // The watch of another kind may reach a store that returns first.
    if (!this->upstreamsReachable)
        return std::nullopt;
    return this->scheduler.now() - this->store.age();
}

void ViewFollower::onReachable(ViewKind kind, bool reachable)
{
    if (kind == ViewKind::Upstreams)
        this->upstreamsReachable = reachable;
    if (reachable) {
        if (kind == ViewKind::Upstreams && this->store.takeStoreFailure())
            this->targets.directory.registryRecovered(this->scheduler.now());
        this->log.info("dependency_regained", {{"dependency", "store"}, {"kind", toString(kind)}});
    } else {
        this->counters.add("store_unreachable");
        this->log.warn("dependency_lost", {{"dependency", "store"}, {"kind", toString(kind)}});
    }
    this->onChange();
}

} // namespace bulrushgap::balance

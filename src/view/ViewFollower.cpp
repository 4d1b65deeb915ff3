#include "view/ViewFollower.h"

#include "platform/ObjectCodec.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace bulrushgap::balance {

namespace internal {

constexpr WatchRetry viewRetry{std::chrono::milliseconds(15), std::chrono::milliseconds(900),
                               std::chrono::milliseconds(200)};

/** Shortest time between two full reads of the registry because of unknown flow tags. */
constexpr Duration verificationInterval = std::chrono::seconds(1);

/** \returns what \a decode gives, or nothing after it has logged why the object can't be used. */
template <typename Decode>
auto decodeOrLog(Log &log, Counters &counters, std::string_view kind, std::string_view name,
                 Decode decode)
{
    using Result = std::optional<std::decay_t<decltype(*decode())>>;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Result> {
            BOOST_LEAF_AUTO(value, decode());
            return Result(std::move(value));
        },
        [&](const platform::ObjectFormatError &error) {
            counters.add("object_malformed");
            log.warn("object_malformed", {{"kind", kind},
                                          {"name", name},
                                          {"member", error.member},
                                          {"expected", error.expected}});
            return Result();
        },
        [&] {
            counters.add("object_malformed");
            log.warn("object_malformed", {{"kind", kind}, {"name", name}});
            return Result();
        });
}

/** \returns the entries that name an upstream. */
std::vector<RegistryEntry> entriesOf(std::span<RegistryChange> changes)
{
    std::vector<RegistryEntry> entries;
    for (RegistryChange &change : changes) {
        if (change.entry)
            entries.push_back({std::move(*change.entry), change.revision});
    }
    return entries;
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
    , upstreamWatch(
          scheduler, store, random, std::string(platform::upstreamKind),
          [this](const WatchUpdate &update) { this->onUpstreams(update); },
          [this](bool reachable) { this->onReachable(platform::upstreamKind, reachable); },
          internal::viewRetry)
    , configurationWatch(
          scheduler, store, random, std::string(platform::configurationKind),
          [this](const WatchUpdate &update) { this->onConfiguration(update); },
          [this](bool reachable) { this->onReachable(platform::configurationKind, reachable); },
          internal::viewRetry)
    , evacuationWatch(
          scheduler, store, random, std::string(platform::evacuationKind),
          [this](const WatchUpdate &update) { this->onEvacuations(update); },
          [this](bool reachable) { this->onReachable(platform::evacuationKind, reachable); },
          internal::viewRetry)
    , memberWatch(
          scheduler, store, random, std::string(platform::instanceKind),
          [this](const WatchUpdate &update) { this->onMembers(update); },
          [this](bool reachable) { this->onReachable(platform::instanceKind, reachable); },
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

void ViewFollower::onUpstreams(const WatchUpdate &update)
{
    this->targets.mirror.apply(platform::upstreamKind, update);
    const TimePoint now = this->scheduler.now();
    std::vector<RegistryChange> changes;
    changes.reserve(update.events.size());
    for (const WatchEvent &event : update.events)
        changes.push_back(this->changeOf(event));
    if (update.complete)
        this->targets.directory.replaceAll(internal::entriesOf(changes), now);
    else
        this->targets.directory.update(changes, now);
    this->upstreamsKnown = true;
    this->targets.steering.refreshColdBudgets();
    this->onChange();
}

RegistryChange ViewFollower::changeOf(const WatchEvent &event)
{
    RegistryChange change{event.key, event.version, std::nullopt};
    if (event.value)
        change.entry = internal::decodeOrLog(
            this->log, this->counters, platform::upstreamKind, event.key,
            [&] { return platform::decodeUpstream(event.key, *event.value); });
    return change;
}

void ViewFollower::onConfiguration(const WatchUpdate &update)
{
    this->targets.mirror.apply(platform::configurationKind, update);
    for (const WatchEvent &event : update.events) {
        if (event.key != platform::configurationName || !event.value)
            continue;
        auto configuration = internal::decodeOrLog(
            this->log, this->counters, platform::configurationKind, event.key,
            [&] { return platform::decodeConfiguration(*event.value); });
        if (!configuration)
            continue;
        const std::uint64_t before = this->targets.routes.version();
        if (!this->targets.routes.update(std::move(*configuration), this->scheduler.now()))
            continue;
        this->targets.steering.refreshColdBudgets();
        this->log.info("configuration_in_force", {{"version", this->targets.routes.version()},
                                                  {"before", before},
                                                  {"revision", event.version},
                                                  {"routes", this->targets.routes.size()}});
    }
    this->onChange();
}

void ViewFollower::onEvacuations(const WatchUpdate &update)
{
    this->targets.mirror.apply(platform::evacuationKind, update);
    std::set<std::string> next = update.complete ? std::set<std::string>() : this->evacuated;
    for (const WatchEvent &event : update.events) {
        if (event.value)
            next.insert(event.key);
        else
            next.erase(event.key);
    }
    const std::set<std::string> before = this->evacuated;
    for (const std::string &domain : before) {
        if (!next.contains(domain))
            this->setEvacuated(domain, false);
    }
    for (const std::string &domain : next) {
        if (!before.contains(domain))
            this->setEvacuated(domain, true);
    }
    this->evacuationsKnown = true;
    this->onChange();
}

void ViewFollower::onMembers(const WatchUpdate &update)
{
    this->targets.mirror.apply(platform::instanceKind, update);
    if (update.complete)
        this->members.clear();
    for (const WatchEvent &event : update.events) {
        this->members.erase(event.key);
        if (!event.value)
            continue;
        auto member = internal::decodeOrLog(
            this->log, this->counters, platform::instanceKind, event.key,
            [&] { return platform::decodeMember(event.key, *event.value); });
        if (member)
            this->members.emplace(event.key, MemberEntry{std::move(*member), event.version});
    }
    std::vector<Member> all;
    for (const auto &[name, entry] : this->members)
        all.push_back(entry.member);
    this->targets.sources.update(all, this->scheduler.now());
    this->targets.sweeper.update(this->members);
    this->targets.steering.setInstancesPerDomain(this->targets.sources.instancesInDomain());
    if (!std::exchange(this->membersKnown, true)) {
        // Only now is it known whether another instance can be followed.
        this->configurationWatch.start();
        this->upstreamWatch.start();
        this->evacuationWatch.start();
    }
    this->onChange();
}

void ViewFollower::verifyUpstreams(ObjectSource &registry)
{
    const TimePoint now = this->scheduler.now();
    if (now - this->verificationAt < internal::verificationInterval)
        return;
    this->verificationAt = now;
    registry.list(platform::upstreamKind, [this, now](const ListOutcome &outcome) {
        if (outcome.result != PlatformResult::Ok)
            return;
        std::vector<RegistryChange> changes;
        for (const StoredObject &object : outcome.objects) {
            auto change = this->changeOf({object.key, object.version, object.value});
            if (change.entry)
                changes.push_back(std::move(change));
        }
        this->targets.directory.update(changes, this->scheduler.now());
        this->targets.steering.viewVerified(now);
        this->log.info("registry_verified",
                       {{"revision", outcome.revision}, {"entries", outcome.objects.size()}});
    });
}

bool ViewFollower::hasMember(const Member &member) const
{
    const auto found = this->members.find(member.name);
    return found != this->members.end() && found->second.member == member;
}

void ViewFollower::setEvacuated(const std::string &domain, bool isEvacuated)
{
    if (isEvacuated)
        this->evacuated.insert(domain);
    else
        this->evacuated.erase(domain);
    this->targets.directory.setEvacuated(domain, isEvacuated);
    if (!isEvacuated)
        this->targets.steering.domainReturned(domain, this->scheduler.now());
    this->log.info(isEvacuated ? "domain_evacuated" : "domain_returned", {{"domain", domain}});
}

void ViewFollower::onReachable(std::string_view kind, bool reachable)
{
    if (reachable) {
        this->unreachable.erase(std::string(kind));
        if (kind == platform::upstreamKind && this->store.takeStoreFailure())
            this->targets.directory.registryReturned(this->scheduler.now());
        this->log.info("dependency_regained", {{"dependency", "store"}, {"kind", kind}});
    } else {
        this->unreachable.insert(std::string(kind));
        this->counters.add("store_unreachable");
        this->log.warn("dependency_lost", {{"dependency", "store"}, {"kind", kind}});
    }
    this->onChange();
}

} // namespace bulrushgap::balance

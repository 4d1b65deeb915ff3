#include "view/ViewSources.h"

#include "base/KeyedHash.h"
#include "view/FreshnessDeadline.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

using std::chrono::milliseconds;

/** Time after a failure until the preferred source is tried again. */
constexpr Duration preferredRetryDelay = std::chrono::seconds(6);

/** How long an instance reads from the store after another instance has required it. */
constexpr Duration directRequestHold = std::chrono::seconds(10);

/** A parent that has just started reads from the store within this time. */
constexpr Duration minBusyGrace = milliseconds(200);
constexpr Duration busyGracePerRank = milliseconds(50);

/** A small domain can turn to the store as a whole; a large one would overload it. */
constexpr Duration minSourceLossGrace = milliseconds(500);
constexpr Duration maxSourceLossGrace = std::chrono::seconds(5);
constexpr Duration sourceLossGracePerInstance = milliseconds(60);

/** Several times what a source that is up needs to answer a short list, and a long one. */
constexpr Duration hedgeDelay = milliseconds(40);
constexpr Duration respondingHedgeDelay = milliseconds(160);

/** Instances of a domain that may list the store at once without a delay by its longer answers. */
constexpr std::size_t maxStoreReaders = 10;

/** At the first start the view passes through all levels of the tree. */
constexpr Duration firstStartHedgeDelay = milliseconds(600);

constexpr std::uint64_t selectionKey = 0x6368'6f69'6365'0001;

/** Instances of a domain that ask the store when their views become too old, at least. */
constexpr std::size_t minStoreAskers = 12;

/** Instances that are asked for a newer view in turn, before and after the store. */
constexpr std::size_t askersBeforeStore = 4;
constexpr std::size_t askersAfterStore = 3;

bool asksStore(std::size_t rank, std::size_t instances)
{
    const std::size_t stride = std::max<std::size_t>(1, instances / minStoreAskers);
    return rank % stride == 0;
}

bool ranksBefore(const Member &first, const Member &second)
{
    if (first.capacity != second.capacity)
        return first.capacity > second.capacity;
    return first.name < second.name;
}

/** \returns a number that spreads instances over several sources. */
std::uint64_t nameHash(const Member &member)
{
    return KeyedHash(selectionKey)(std::string_view(member.name));
}

/** \returns \a seeds without \a self, in an order that differs between instances. */
std::vector<Endpoint> otherSeeds(std::span<const Endpoint> seeds, const Member &self)
{
    std::vector<Endpoint> result;
    std::ranges::copy_if(seeds, std::back_inserter(result),
                         [&](const Endpoint &seed) { return seed != self.peer; });
    if (result.empty())
        return result;
    const auto first = static_cast<std::ptrdiff_t>(nameHash(self) % result.size());
    std::rotate(result.begin(), result.begin() + first, result.end());
    return result;
}

} // namespace internal

ViewSources::ViewSources(Member self, std::span<const Endpoint> seeds, bool firstStart)
    : self(std::move(self))
    , waitAtStart(firstStart)
    , seeds(internal::otherSeeds(seeds, this->self))
    , domainTree{this->self.peer}
{
    this->listSources();
}

void ViewSources::update(std::span<const Member> members, TimePoint now)
{
    const ViewSource before = this->current();
    this->rankMembers(members);
    this->listSources();
    const auto previous = std::ranges::find(this->sources, before);
    const bool retryDue = now - this->failedAt >= internal::preferredRetryDelay;
    this->currentIndex = retryDue || previous == this->sources.end()
                             ? 0
                             : static_cast<std::size_t>(previous - this->sources.begin());
}

void ViewSources::rankMembers(std::span<const Member> members)
{
    this->others.clear();
    std::ranges::copy_if(members, std::back_inserter(this->others),
                         [this](const Member &member) { return member.name != this->self.name; });
    std::ranges::sort(this->others, internal::ranksBefore);
    this->domainTree.clear();
    for (const Member &member : this->others) {
        if (member.domain == this->self.domain && internal::ranksBefore(member, this->self))
            this->domainTree.push_back(member.peer);
    }
    this->rank = this->domainTree.size();
    this->domainTree.push_back(this->self.peer);
    for (const Member &member : this->others) {
        if (member.domain == this->self.domain && !internal::ranksBefore(member, this->self))
            this->domainTree.push_back(member.peer);
    }
    this->storeAskers.clear();
    for (std::size_t index = 0; index < this->domainTree.size(); ++index) {
        if (index != this->rank && internal::asksStore(index, this->domainTree.size()))
            this->storeAskers.push_back(this->domainTree[index]);
    }
}

void ViewSources::listSources()
{
    this->sources.clear();
    this->addAncestors();
    this->addStoreAskers(0, internal::askersBeforeStore);
    this->addSource({});
    this->addStoreAskers(internal::askersBeforeStore, internal::askersAfterStore);
    this->addOtherDomains();
}

void ViewSources::addAncestors()
{
    for (std::size_t index = this->rank; index > 0;) {
        index = (index - 1) / maxChildren;
        this->addSource({this->domainTree[index], false, true});
    }
    // If the root is lost, the second instance is the first to read from the store.
    if (this->rank > 1)
        this->addSource({this->domainTree[1], false, true});
}

void ViewSources::addOtherDomains()
{
    std::set<std::string_view> domains{this->self.domain};
    for (const Member &member : this->others) {
        if (!domains.insert(member.domain).second)
            continue;
        this->sources.push_back({member.peer, true, false});
        // Store outages are mostly short and affect other instances too, so the store is retried
        // after each of them.
        this->sources.emplace_back();
    }
}

void ViewSources::addStoreAskers(std::size_t offset, std::size_t count)
{
    if (!this->stale || this->storeAskers.empty())
        return;
    const std::size_t first = internal::nameHash(this->self) + this->nextAsker + offset;
    for (std::size_t i = 0; i < std::min(count, this->storeAskers.size()); ++i) {
        const Endpoint peer = this->storeAskers[(first + i) % this->storeAskers.size()];
        this->sources.push_back({peer, false, false, true});
    }
}

void ViewSources::addSource(const ViewSource &source)
{
    const auto same = [&](const ViewSource &known) {
        return known.peer == source.peer;
    };
    if (std::ranges::none_of(this->sources, same))
        this->sources.push_back(source);
}

bool ViewSources::isSelected(std::string_view subject, unsigned count) const
{
    const std::uint64_t own = hashOf(subject, this->self.name);
    const auto before = std::ranges::count_if(
        this->others, [&](const Member &other) { return hashOf(subject, other.name) < own; });
    return std::cmp_less(before, count);
}

std::optional<Endpoint> ViewSources::instanceIn(std::string_view domain, std::size_t number) const
{
    std::vector<Endpoint> found;
    for (const Member &member : this->others) {
        if (member.domain == domain)
            found.push_back(member.peer);
    }
    return found.empty() ? std::nullopt : std::optional(found[number % found.size()]);
}

unsigned ViewSources::rankInDomain(std::string_view subject) const
{
    const std::uint64_t own = hashOf(subject, this->self.name);
    return static_cast<unsigned>(std::ranges::count_if(this->others, [&](const Member &other) {
        return other.domain == this->self.domain && hashOf(subject, other.name) < own;
    }));
}

std::uint64_t ViewSources::hashOf(std::string_view subject, std::string_view name)
{
    const KeyedHash hash(internal::selectionKey);
    return hash(hash(subject), hash(name));
}

HedgedList::Plan ViewSources::startPlan() const
{
    const ViewSource store;
    HedgedList::Plan plan;
    if (this->waitAtStart) {
        plan.delay = internal::firstStartHedgeDelay;
        plan.order.push_back(this->current());
        if (!this->followsStore())
            plan.order.push_back(store);
        return plan;
    }
    plan.delay = internal::hedgeDelay;
    plan.respondingDelay = internal::respondingHedgeDelay;
    const bool storeFirst
        = !this->startSource && this->domainTree.size() <= internal::maxStoreReaders;
    if (storeFirst)
        plan.order.push_back(store);
    if (const auto peer = this->startPeer())
        plan.order.push_back({*peer, false, false});
    if (this->startSource)
        plan.order.push_back(*this->startSource);
    if (!storeFirst)
        plan.order.push_back(store);
    if (this->startSource)
        return plan;
    for (const Endpoint &seed : this->seeds)
        plan.order.push_back({seed, false, false});
    return plan;
}

std::optional<Endpoint> ViewSources::startPeer() const
{
    std::vector<Endpoint> strongest;
    std::uint32_t capacity = 0;
    for (const Member &member : this->others) {
        if (member.domain != this->self.domain)
            continue;
        if (!strongest.empty() && member.capacity < capacity)
            break;
        capacity = member.capacity;
        strongest.push_back(member.peer);
    }
    if (strongest.empty())
        return std::nullopt;
    return strongest[internal::nameHash(this->self) % strongest.size()];
}

void ViewSources::onStartAnswer(const ViewSource &source)
{
    if (!source.isStore() && !this->startSource)
        this->startSource = source;
}

void ViewSources::onSourceFailed(TimePoint now)
{
    this->failedAt = now;
    this->currentIndex = (this->currentIndex + 1) % this->sources.size();
}

void ViewSources::onViewStale(TimePoint now, bool storeTried)
{
    this->failedAt = now;
    this->stale = true;
    // Those of the last time may have had no current view either.
    this->nextAsker += internal::askersBeforeStore + internal::askersAfterStore;
    this->listSources();
    this->currentIndex = this->storeIndex();
    if (this->asksStoreWhenStale()) {
        this->currentIndex += storeTried ? 1 : 0;
        this->currentIndex %= this->sources.size();
        return;
    }
    const auto asker = std::ranges::find_if(this->sources, &ViewSource::mustBeNewer);
    if (asker != this->sources.end())
        this->currentIndex = static_cast<std::size_t>(asker - this->sources.begin());
}

void ViewSources::addAskersAfterStore()
{
    if (!this->followsStore() || std::exchange(this->stale, true))
        return;
    this->listSources();
    this->currentIndex = this->storeIndex();
}

bool ViewSources::asksStoreWhenStale() const
{
    return internal::asksStore(this->rank, this->domainTree.size());
}

void ViewSources::onViewComplete()
{
    if (std::exchange(this->starting, false))
        this->currentIndex = 0;
}

std::size_t ViewSources::storeIndex() const
{
    const auto store = std::ranges::find_if(this->sources, &ViewSource::isStore);
    return static_cast<std::size_t>(store - this->sources.begin());
}

void ViewSources::retryPreferred(TimePoint now)
{
    if (this->directRequestAt && now - *this->directRequestAt < internal::directRequestHold)
        return;
    this->directRequestAt.reset();
    if (this->currentIndex == 0 || now - this->failedAt < internal::preferredRetryDelay)
        return;
    this->currentIndex = 0;
    if (std::exchange(this->stale, false))
        this->listSources();
}

void ViewSources::onDirectRequest(TimePoint now)
{
    if (this->directRequestAt && !this->followsStore()
        && now - *this->directRequestAt < internal::directRequestHold) {
        // The store has failed since the last request: keep the current source.
        return;
    }
    this->directRequestAt = now;
    this->failedAt = now;
    this->currentIndex = this->storeIndex();
}

Duration ViewSources::busyGracePeriod() const
{
    return internal::minBusyGrace + this->rank * internal::busyGracePerRank;
}

Duration ViewSources::freshnessLimit() const
{
    return FreshnessDeadline::limitOf(this->rank, maxChildren);
}

Duration ViewSources::sourceLossGracePeriod() const
{
    const Duration grace = internal::minSourceLossGrace
                           + this->domainTree.size() * internal::sourceLossGracePerInstance;
    return std::min(grace, internal::maxSourceLossGrace);
}

} // namespace bulrushgap::balance

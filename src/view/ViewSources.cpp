#include "view/ViewSources.h"

#include "base/KeyedHash.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Time after a failure until the preferred source is tried again. */
constexpr Duration preferredRetryDelay = std::chrono::seconds(6);

/** How long an instance reads from the store after a request of another instance. */
constexpr Duration peerRequestHold = std::chrono::seconds(10);

/** Number of instances of the own domain that are tried before the store. */
constexpr std::size_t maxDomainPeers = 2;

constexpr std::uint64_t selectionKey = 0x6368'6f69'6365'0001;

bool ranksBefore(const Member &first, const Member &second)
{
    if (first.capacity != second.capacity)
        return first.capacity > second.capacity;
    return first.name < second.name;
}

} // namespace internal

ViewSources::ViewSources(std::string name, std::string domain)
    : name(std::move(name))
    , domain(std::move(domain))
{}

void ViewSources::update(std::span<const Member> members, TimePoint now)
{
    const auto before = this->current();
    this->rankSources({members.begin(), members.end()});
    const auto previous = std::ranges::find(this->sources, before);
    const bool retryDue = now - this->failedAt >= internal::preferredRetryDelay;
    this->currentIndex = retryDue || previous == this->sources.end()
                             ? 0
                             : static_cast<std::size_t>(previous - this->sources.begin());
}

void ViewSources::rankSources(std::vector<Member> members)
{
    std::ranges::sort(members, internal::ranksBefore);
    this->sources.clear();
    this->otherNames.clear();
    this->domainInstances = 1;
    this->totalInstances = 1;
    bool ranksFirst = true;
    std::size_t domainPeers = 0;
    for (const Member &member : members) {
        if (member.name == this->name) {
            ranksFirst = domainPeers == 0;
            continue;
        }
        ++this->totalInstances;
        this->otherNames.push_back(member.name);
        if (member.domain != this->domain)
            continue;
        ++this->domainInstances;
        if (domainPeers++ < internal::maxDomainPeers)
            this->sources.emplace_back(member.peer);
    }
    const bool isMember = std::ranges::any_of(
        members, [this](const Member &member) { return member.name == this->name; });
    // The instance with the highest rank uses other instances only if the store fails.
    if (ranksFirst && isMember)
        this->sources.assign(1, std::nullopt);
    else
        this->sources.emplace_back(std::nullopt);
    std::vector<std::string> domains{this->domain};
    for (const Member &member : members) {
        if (std::ranges::find(domains, member.domain) != domains.end())
            continue;
        domains.push_back(member.domain);
        this->sources.emplace_back(member.peer);
        // Store outages are mostly short and affect other instances too, so the store is retried
        // after each of them.
        this->sources.emplace_back(std::nullopt);
    }
}

bool ViewSources::isSelected(std::string_view subject, unsigned count) const
{
    const KeyedHash hash(internal::selectionKey);
    const std::uint64_t subjectHash = hash(subject);
    const std::uint64_t own = hash(subjectHash, hash(std::string_view(this->name)));
    const auto before = std::ranges::count_if(this->otherNames, [&](const std::string &other) {
        return hash(subjectHash, hash(std::string_view(other))) < own;
    });
    return std::cmp_less(before, count);
}

std::optional<Endpoint> ViewSources::current() const
{
    return this->sources[this->currentIndex];
}

void ViewSources::onSourceFailed(TimePoint now)
{
    this->failedAt = now;
    if (this->starting && !this->followsStore())
        this->currentIndex = this->storeIndex();
    else
        this->currentIndex = (this->currentIndex + 1) % this->sources.size();
}

std::size_t ViewSources::storeIndex() const
{
    const auto store = std::ranges::find(this->sources, std::optional<Endpoint>());
    return static_cast<std::size_t>(store - this->sources.begin());
}

void ViewSources::retryPreferred(TimePoint now)
{
    if (this->peerRequestAt && now - *this->peerRequestAt < internal::peerRequestHold)
        return;
    this->peerRequestAt.reset();
    if (this->currentIndex != 0 && now - this->failedAt >= internal::preferredRetryDelay)
        this->currentIndex = 0;
}

void ViewSources::onPeerRequest(TimePoint now)
{
    if (this->peerRequestAt && !this->followsStore()
        && now - *this->peerRequestAt < internal::peerRequestHold) {
        // The store has failed since the last request: keep the current source.
        return;
    }
    this->peerRequestAt = now;
    this->failedAt = now;
    this->currentIndex = this->storeIndex();
}

} // namespace bulrushgap::balance

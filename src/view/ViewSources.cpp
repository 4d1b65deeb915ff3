#include "view/ViewSources.h"

#include "base/KeyedHash.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** How long another source is used before the preferred one is tried again. */
constexpr Duration sourceReturnDelay = std::chrono::seconds(6);

/** How long an instance follows the store after another has asked it. */
constexpr Duration demandDuration = std::chrono::seconds(10);

/** Instances of the own domain that are tried before the store. */
constexpr std::size_t domainSources = 2;

constexpr std::uint64_t choiceKey = 0x6368'6f69'6365'0001;

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
    this->rank({members.begin(), members.end()});
    const auto kept = std::ranges::find(this->order, before);
    const bool settled = now - this->failedAt >= internal::sourceReturnDelay;
    this->position = settled || kept == this->order.end()
                         ? 0
                         : static_cast<std::size_t>(kept - this->order.begin());
}

void ViewSources::rank(std::vector<Member> members)
{
    std::ranges::sort(members, internal::ranksBefore);
    this->order.clear();
    this->names.clear();
    this->inDomain = 1;
    this->total = 1;
    bool first = true;
    std::size_t better = 0;
    for (const Member &member : members) {
        if (member.name == this->name) {
            first = better == 0;
            continue;
        }
        ++this->total;
        this->names.push_back(member.name);
        if (member.domain != this->domain)
            continue;
        ++this->inDomain;
        if (better++ < internal::domainSources)
            this->order.emplace_back(member.peer);
    }
    const bool isMember = std::ranges::any_of(
        members, [this](const Member &member) { return member.name == this->name; });
    // The first of a domain follows the store, and turns to others only if that fails.
    if (first && isMember)
        this->order.assign(1, std::nullopt);
    else
        this->order.emplace_back(std::nullopt);
    std::vector<std::string> domains{this->domain};
    for (const Member &member : members) {
        if (std::ranges::find(domains, member.domain) != domains.end())
            continue;
        domains.push_back(member.domain);
        this->order.emplace_back(member.peer);
        // An outage of the store is mostly short, and other instances can't help while it lasts.
        this->order.emplace_back(std::nullopt);
    }
}

bool ViewSources::isChosen(std::string_view subject, unsigned count) const
{
    const KeyedHash hash(internal::choiceKey);
    const std::uint64_t subjectHash = hash(subject);
    const std::uint64_t own = hash(subjectHash, hash(std::string_view(this->name)));
    const auto before = std::ranges::count_if(this->names, [&](const std::string &other) {
        return hash(subjectHash, hash(std::string_view(other))) < own;
    });
    return std::cmp_less(before, count);
}

std::optional<Endpoint> ViewSources::current() const
{
    return this->order[this->position];
}

void ViewSources::failed(TimePoint now)
{
    this->failedAt = now;
    if (this->starting && !this->followsStore())
        this->position = this->storePosition();
    else
        this->position = (this->position + 1) % this->order.size();
}

std::size_t ViewSources::storePosition() const
{
    const auto store = std::ranges::find(this->order, std::optional<Endpoint>());
    return static_cast<std::size_t>(store - this->order.begin());
}

void ViewSources::reconsider(TimePoint now)
{
    if (this->demandedAt && now - *this->demandedAt < internal::demandDuration)
        return;
    this->demandedAt.reset();
    if (this->position != 0 && now - this->failedAt >= internal::sourceReturnDelay)
        this->position = 0;
}

void ViewSources::demanded(TimePoint now)
{
    if (this->demandedAt && !this->followsStore()
        && now - *this->demandedAt < internal::demandDuration) {
        // The store has failed since: stay with what answers.
        return;
    }
    this->demandedAt = now;
    this->failedAt = now;
    this->position = this->storePosition();
}

} // namespace bulrushgap::balance

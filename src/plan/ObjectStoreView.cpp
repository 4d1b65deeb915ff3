#include "plan/ObjectStoreView.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace bulrushgap {

namespace internal {

/** \brief Key prefixes; operators write the first operatorKinds of them. */
constexpr std::array<std::string_view, 4> kindPrefixes{"service/", "upstream/", "domain/",
                                                       "instance/"};
constexpr std::size_t operatorKinds = 3;

bool covers(std::string_view prefix, std::size_t kind)
{
    return kindPrefixes.at(kind).starts_with(prefix);
}

template <typename Object, typename Entries>
std::vector<const Object *> validObjects(const Entries &entries)
{
    std::vector<const Object *> objects;
    objects.reserve(entries.size());
    for (const auto &[name, entry] : entries) {
        if (entry.lastValid)
            objects.push_back(&*entry.lastValid);
    }
    return objects;
}

template <typename Entries>
auto findValid(const Entries &entries, std::string_view name)
{
    const auto found = entries.find(name);
    return found != entries.end() && found->second.lastValid ? &*found->second.lastValid : nullptr;
}

template <typename Entries>
void collectInvalid(const Entries &entries, std::string_view prefix,
                    std::vector<InvalidObject> &invalid)
{
    for (const auto &[name, entry] : entries) {
        if (!entry.faults.empty())
            invalid.push_back({std::string(prefix) + name, entry.version, entry.faults});
    }
}

} // namespace internal

ObjectStoreView::Outcome ObjectStoreView::apply(std::string_view key, std::uint64_t version,
                                                const std::optional<boost::json::value> &value)
{
    const auto found = std::ranges::find_if(internal::kindPrefixes, [&](std::string_view prefix) {
        return key.starts_with(prefix) && key.size() > prefix.size();
    });
    if (found == internal::kindPrefixes.end())
        return Outcome::Ignored;
    const auto kind = static_cast<std::size_t>(found - internal::kindPrefixes.begin());
    const std::string_view name = key.substr(found->size());
    Outcome outcome = Outcome::Ignored;
    switch (kind) {
    case 0:
        outcome = this->applyTo(this->serviceEntries, name, version, value);
        break;
    case 1:
        outcome = this->applyTo(this->upstreamEntries, name, version, value);
        break;
    case 2:
        outcome = this->applyTo(this->domainEntries, name, version, value);
        break;
    default:
        outcome = this->applyTo(this->instanceEntries, name, version, value);
        break;
    }
    this->revisions.at(kind) = std::max(this->revisions.at(kind), version);
    if (outcome == Outcome::Changed)
        this->updateConfigVersion(kind, version);
    return outcome;
}

void ObjectStoreView::applyList(std::string_view prefix, std::uint64_t revision,
                                std::span<const ListedObject> objects)
{
    for (const ListedObject &object : objects)
        this->apply(object.key, object.version, object.value);
    this->removeUnlisted(this->serviceEntries, internal::kindPrefixes[0], prefix, revision,
                         objects);
    this->removeUnlisted(this->upstreamEntries, internal::kindPrefixes[1], prefix, revision,
                         objects);
    this->removeUnlisted(this->domainEntries, internal::kindPrefixes[2], prefix, revision, objects);
    this->removeUnlisted(this->instanceEntries, internal::kindPrefixes[3], prefix, revision,
                         objects);
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        if (internal::covers(prefix, kind))
            this->kindListed.at(kind) = true;
    }
    this->advance(prefix, revision);
}

void ObjectStoreView::advance(std::string_view prefix, std::uint64_t revision)
{
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        if (internal::covers(prefix, kind))
            this->revisions.at(kind) = std::max(this->revisions.at(kind), revision);
    }
}

bool ObjectStoreView::listed() const
{
    return std::all_of(this->kindListed.begin(), this->kindListed.begin() + internal::operatorKinds,
                       [](bool listed) { return listed; });
}

std::uint64_t ObjectStoreView::revision() const
{
    return *std::min_element(this->revisions.begin(),
                             this->revisions.begin() + internal::operatorKinds);
}

std::vector<const ServiceObject *> ObjectStoreView::services() const
{
    return internal::validObjects<ServiceObject>(this->serviceEntries);
}

std::vector<const UpstreamObject *> ObjectStoreView::upstreams() const
{
    return internal::validObjects<UpstreamObject>(this->upstreamEntries);
}

std::vector<const DomainObject *> ObjectStoreView::domains() const
{
    return internal::validObjects<DomainObject>(this->domainEntries);
}

std::vector<const InstanceObject *> ObjectStoreView::instances() const
{
    return internal::validObjects<InstanceObject>(this->instanceEntries);
}

const UpstreamObject *ObjectStoreView::upstream(std::string_view name) const
{
    return internal::findValid(this->upstreamEntries, name);
}

const DomainObject *ObjectStoreView::domain(std::string_view name) const
{
    return internal::findValid(this->domainEntries, name);
}

std::vector<InvalidObject> ObjectStoreView::invalid() const
{
    std::vector<InvalidObject> invalid;
    internal::collectInvalid(this->serviceEntries, internal::kindPrefixes[0], invalid);
    internal::collectInvalid(this->upstreamEntries, internal::kindPrefixes[1], invalid);
    internal::collectInvalid(this->domainEntries, internal::kindPrefixes[2], invalid);
    internal::collectInvalid(this->instanceEntries, internal::kindPrefixes[3], invalid);
    return invalid;
}

template <typename Object>
ObjectStoreView::Outcome ObjectStoreView::applyTo(Entries<Object> &entries, std::string_view name,
                                                  std::uint64_t version,
                                                  const std::optional<boost::json::value> &value)
{
    Entry<Object> &entry = entries[std::string(name)];
    if (version <= entry.version) {
        this->counters.add("object_stale_event");
        return Outcome::Stale;
    }
    entry.version = version;
    entry.faults.clear();
    if (!value) {
        entry.lastValid.reset();
        return Outcome::Changed;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Outcome> {
            BOOST_LEAF_ASSIGN(entry.lastValid, Object::fromJson(name, *value));
            return Outcome::Changed;
        },
        [&](const ObjectFaults &error) {
            entry.faults = error.faults;
            this->counters.add("object_invalid");
            return Outcome::Invalid;
        },
        [&]() {
            this->counters.add("object_invalid");
            return Outcome::Invalid;
        });
}

/** Removes entries missing from the list unless they are newer than its revision. This includes
 * tombstones: events up to the list's revision cannot restore deleted objects. */
template <typename Object>
void ObjectStoreView::removeUnlisted(Entries<Object> &entries, std::string_view kind,
                                     std::string_view prefix, std::uint64_t revision,
                                     std::span<const ListedObject> objects)
{
    std::set<std::string_view> listedKeys;
    for (const ListedObject &object : objects)
        listedKeys.insert(object.key);
    std::erase_if(entries, [&](const auto &item) {
        const std::string key = std::string(kind) + item.first;
        return key.starts_with(prefix) && item.second.version <= revision
               && !listedKeys.contains(key);
    });
}

void ObjectStoreView::updateConfigVersion(std::size_t kind, std::uint64_t version)
{
    if (kind < internal::operatorKinds)
        this->newestConfigVersion = std::max(this->newestConfigVersion, version);
}

} // namespace bulrushgap

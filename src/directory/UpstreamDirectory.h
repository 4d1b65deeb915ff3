#pragma once

#include "base/KeyedHash.h"
#include "directory/Upstream.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::balance {

/** \brief Registry entry with its store revision. */
struct RegistryEntry
{
    UpstreamEntry entry;
    StoreRevision revision;
};

/** \brief Change of one registry entry. */
struct RegistryChange
{
    std::string name;
    StoreRevision revision;
    std::optional<UpstreamEntry> entry; //!< Empty if the entry was removed or is malformed.
};

/** \brief Where registry entries come from. */
enum class RegistryOrigin {
    Current, //!< The registry as it is.
    Copy,    //!< The registry just after its return from a copy: it may list again what has left.
};

/** \brief Change of an upstream in the directory, for the log. */
struct DirectoryChange
{
    enum class Kind { Added, Restarted, Draining, Ready, Deregistered, Changed };

    Kind kind;
    UpstreamIndex upstream;
};

[[nodiscard]] std::string_view toString(DirectoryChange::Kind kind);

/** \brief Whether the entry of an upstream allows new flows, or why not. */
enum class Eligibility { Eligible, Unregistered, Draining, AmbiguousTag, Evacuated };

/** \brief Registered upstreams of a failure domain. */
struct DomainSize
{
    std::size_t upstreams = 0;
    std::size_t services = 0; //!< To which these upstreams belong.
};

/** \brief Upstreams by index, flow tag and service, and the evacuated failure domains.
 *
 * A deregistered upstream takes no new flows, but stays known for longer than the longest flow, so
 * that its flows still reach it; afterwards its index may be reused. Entries that expire during a
 * registry outage stay usable for a grace period. During that of a registry that returns from a
 * copy, an upstream that this instance knows to drain or to have left does so whatever the copy
 * lists.
 */
class UpstreamDirectory
{
public:
    using ChangeHandler = std::function<void(const DirectoryChange &change)>;

    explicit UpstreamDirectory(ChangeHandler onChange);

    /** \brief Starts the grace period after a registry outage: entries that are missing or removed
     * during it stay usable, since live upstreams register again. */
    void registryRecovered(TimePoint now);

    /** \brief Extends the grace period, which another instance has started. */
    void extendGrace(TimePoint end) { this->graceEndsAt = std::max(this->graceEndsAt, end); }

    /** \returns the end of the last grace period. */
    [[nodiscard]] TimePoint graceEnd() const { return this->graceEndsAt; }

    /** \returns the time from which the registry lists all live upstreams: the end of the last
     * grace period, or of one that starts with the first read, since an instance that starts does
     * not know whether the registry has just returned. */
    [[nodiscard]] TimePoint completeFrom() const
    {
        return std::max(this->graceEndsAt, this->firstGraceEndsAt.value_or(TimePoint{}));
    }

    /** \brief Replaces all entries. */
    void replaceAll(std::span<const RegistryEntry> entries, TimePoint now,
                    RegistryOrigin origin = RegistryOrigin::Current);

    /** \brief Applies changes in order; changes older than the known revision are ignored. */
    void update(std::span<const RegistryChange> changes, TimePoint now,
                RegistryOrigin origin = RegistryOrigin::Current);

    /** \brief Ends an elapsed grace period and discards upstreams that left long ago. */
    void expire(TimePoint now);

    void setEvacuated(std::string_view domain, bool evacuated);
    [[nodiscard]] bool isEvacuated(std::string_view domain) const;

    /** \returns the upstream with this tag, or noUpstream. */
    [[nodiscard]] UpstreamIndex findByTag(std::uint32_t flowTag) const;

    /** \returns whether the upstream is deregistered and another one uses its address. */
    [[nodiscard]] bool isReplaced(UpstreamIndex index) const
    {
        return this->upstreams[index].replaced;
    }

    /** \returns the upstreams of a service whose entries allow new flows. */
    [[nodiscard]] std::span<const UpstreamIndex> candidates(std::string_view service) const;

    /** \returns whether the upstream is one of the candidates of its service, or why not. */
    [[nodiscard]] Eligibility eligibility(UpstreamIndex index) const;

    [[nodiscard]] Upstream &at(UpstreamIndex index) { return this->upstreams[index]; }
    [[nodiscard]] const Upstream &at(UpstreamIndex index) const { return this->upstreams[index]; }

    /** \returns the entry that the registry lists, also one of a copy that is held back, or
     * nothing.
     */
    [[nodiscard]] std::optional<RegistryEntry> listedEntry(UpstreamIndex index) const;

    /** \returns the number of indexes; those of discarded upstreams have no name. */
    [[nodiscard]] std::size_t size() const { return this->upstreams.size(); }
    [[nodiscard]] std::size_t registeredCount() const;

    /** \returns how much of the registry is in a failure domain. */
    [[nodiscard]] DomainSize domainSize(DomainIndex domain) const;

    [[nodiscard]] std::string_view domainName(DomainIndex domain) const
    {
        return this->domains[domain];
    }

private:
    using Candidates = std::map<std::string, std::vector<UpstreamIndex>, std::less<>>;

    void apply(const RegistryEntry &entry, TimePoint now, RegistryOrigin origin);
    void add(const RegistryEntry &entry, TimePoint now);
    void replace(UpstreamIndex index, const RegistryEntry &entry, TimePoint now);

    /** \returns whether the entry is that of an upstream which has begun to drain, or left, since.
     */
    [[nodiscard]] bool isOutdated(UpstreamIndex index, const UpstreamEntry &entry) const;

    /** \brief Applies the entries of a copy that were held back. */
    void applyOutdated(TimePoint now);
    void remove(std::string_view name, StoreRevision revision, TimePoint now);
    void deregister(UpstreamIndex index, TimePoint now);
    void discardDeparted(TimePoint now);
    void discard(UpstreamIndex index);
    [[nodiscard]] UpstreamIndex allocateIndex();
    void indexTag(UpstreamIndex index);
    void indexEntry(Upstream &upstream);
    void rebuildCandidates();
    void notify(DirectoryChange::Kind kind, UpstreamIndex index);

    ChangeHandler onChange;
    KeyedHash tagHash;
    std::vector<Upstream> upstreams;
    std::vector<std::string> domains;  //!< By DomainIndex.
    std::vector<std::string> services; //!< By ServiceIndex.
    std::map<std::string, UpstreamIndex, std::less<>> byName;
    boost::unordered_flat_map<std::uint32_t, UpstreamIndex> byTag;
    Candidates byService;
    std::set<std::string, std::less<>> evacuated;
    std::vector<UpstreamIndex> freeIndexes; //!< Indexes of discarded upstreams.
    std::set<UpstreamIndex> inGracePeriod;  //!< Deregistered after an outage, still usable.
    std::map<UpstreamIndex, RegistryEntry> outdated; //!< Of a copy; applied after the grace.
    std::optional<TimePoint> firstGraceEndsAt;       //!< Set by the first read.
    TimePoint graceEndsAt{};
};

} // namespace bulrushgap::balance

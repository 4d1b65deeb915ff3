#pragma once

#include "base/KeyedHash.h"
#include "directory/Upstream.h"

#include <boost/unordered/unordered_flat_map.hpp>

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

/** \brief Entry of the registry at a store revision. */
struct RegistryEntry
{
    UpstreamEntry entry;
    std::uint64_t revision = 0;
};

/** \brief News of one entry. */
struct RegistryChange
{
    std::string name;
    std::uint64_t revision = 0;
    std::optional<UpstreamEntry> entry; //!< Nothing if it was removed, or names no upstream.
};

/** \brief A change that the directory has made of its beliefs, for the log. */
struct DirectoryChange
{
    enum class Kind { Added, Restarted, Draining, Ready, Unlisted, Changed };

    Kind kind;
    UpstreamIndex upstream;
};

[[nodiscard]] std::string_view toString(DirectoryChange::Kind kind);

/** \brief Upstreams by index, flow tag and service, and the evacuated failure domains.
 *
 * An upstream that leaves the registry takes no new flows, but stays known for longer than a flow
 * can live, so that its flows still find it; then its index may name another one. Answers entries
 * that lapse while the registry is down: for a while they stay usable.
 */
class UpstreamDirectory
{
public:
    using ChangeHandler = std::function<void(const DirectoryChange &change)>;

    explicit UpstreamDirectory(ChangeHandler onChange);

    /** \brief The registry answers again after an outage: entries that are missing or removed now
     * stay usable for a short while, since upstreams that live register again. */
    void registryReturned(TimePoint now);

    /** \brief Replaces all entries. */
    void replaceAll(std::span<const RegistryEntry> entries, TimePoint now);

    /** \brief Applies news in their order; older than what is known, they change nothing. */
    void update(std::span<const RegistryChange> changes, TimePoint now);

    /** \brief Ends the use of entries that did not come back, forgets those gone for long. */
    void expire(TimePoint now);

    void setEvacuated(std::string_view domain, bool evacuated);
    [[nodiscard]] bool isEvacuated(std::string_view domain) const;

    /** \returns the upstream with this tag, or noUpstream. */
    [[nodiscard]] UpstreamIndex findByTag(std::uint32_t flowTag) const;

    /** \returns whether the upstream left the registry and another has its address: it is gone. */
    [[nodiscard]] bool isReplaced(UpstreamIndex index) const
    {
        return this->upstreams[index].replaced;
    }

    /** \returns the upstreams of a service that may take new flows by their entries. */
    [[nodiscard]] std::span<const UpstreamIndex> candidates(std::string_view service) const;

    [[nodiscard]] Upstream &at(UpstreamIndex index) { return this->upstreams[index]; }
    [[nodiscard]] const Upstream &at(UpstreamIndex index) const { return this->upstreams[index]; }

    /** \returns the number of indexes; those of forgotten upstreams have no name. */
    [[nodiscard]] std::size_t size() const { return this->upstreams.size(); }
    [[nodiscard]] std::size_t listedCount() const;

private:
    using Candidates = std::map<std::string, std::vector<UpstreamIndex>, std::less<>>;

    void apply(const RegistryEntry &entry, TimePoint now);
    void add(const RegistryEntry &entry, TimePoint now);
    void replace(UpstreamIndex index, const RegistryEntry &entry, TimePoint now);
    void remove(std::string_view name, std::uint64_t revision, TimePoint now);
    void unlist(UpstreamIndex index, TimePoint now);
    void forgetGone(TimePoint now);
    void forget(UpstreamIndex index);
    [[nodiscard]] UpstreamIndex newIndex();
    void indexTag(UpstreamIndex index);
    void rebuildCandidates();
    void announce(DirectoryChange::Kind kind, UpstreamIndex index);

    ChangeHandler onChange;
    KeyedHash tagHash;
    std::vector<Upstream> upstreams;
    std::map<std::string, UpstreamIndex, std::less<>> byName;
    boost::unordered_flat_map<std::uint32_t, UpstreamIndex> byTag;
    Candidates byService;
    std::set<std::string, std::less<>> evacuated;
    std::vector<UpstreamIndex> unused; //!< Indexes of forgotten upstreams.
    std::set<UpstreamIndex> lapsed;    //!< Unlisted after an outage, still usable.
    TimePoint lapseEndsAt{};
};

} // namespace bulrushgap::balance

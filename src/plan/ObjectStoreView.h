#pragma once

#include "base/Counters.h"
#include "plan/DomainObject.h"
#include "plan/InstanceObject.h"
#include "plan/ObjectFault.h"
#include "plan/ServiceObject.h"
#include "plan/UpstreamObject.h"

#include <boost/json.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Object returned by a list request to the store. */
struct ListedObject
{
    std::string key;
    std::uint64_t version = 0;
    boost::json::value value;
};

/** \brief Object whose newest version cannot be decoded. */
struct InvalidObject
{
    std::string key;
    std::uint64_t version = 0;
    std::vector<ObjectFault> faults;

    friend bool operator==(const InvalidObject &, const InvalidObject &) = default;
};

/** \brief Local copy of the store's service/, upstream/, domain/ and instance/ objects.
 *
 * If the newest version of an object cannot be decoded, its last valid value is kept; invalid()
 * returns the object, and `object_invalid` counts it. Lists and watches overlap, so events that are
 * not newer than the known version are ignored and counted as `object_stale_event`.
 */
class ObjectStoreView
{
public:
    enum class Outcome : std::uint8_t {
        Changed,
        Invalid, //!< Decoding failed; the last valid value is kept.
        Stale,   //!< Not newer than the known version.
        Ignored, //!< The key is not of an object kind in this view.
    };

    explicit ObjectStoreView(Counters &counters)
        : counters(counters)
    {}

    /** \brief Applies one listed object or watch event; without \a value the object was deleted. */
    Outcome apply(std::string_view key, std::uint64_t version,
                  const std::optional<boost::json::value> &value);

    /** \brief Applies a list of all objects under \a prefix as of store revision \a revision. */
    void applyList(std::string_view prefix, std::uint64_t revision,
                   std::span<const ListedObject> objects);

    /** \brief Records that a watch of \a prefix has reported every event up to \a revision. */
    void advance(std::string_view prefix, std::uint64_t revision);

    /** \returns whether services, upstreams and domains have all been listed. */
    [[nodiscard]] bool listed() const;

    /** \returns the store revision up to which all operators' objects are known. */
    [[nodiscard]] std::uint64_t revision() const;

    /** \returns the newest applied version of an operator's object; never decreases. */
    [[nodiscard]] std::uint64_t configVersion() const { return this->newestConfigVersion; }

    /** \brief Valid objects, sorted by name. */
    [[nodiscard]] std::vector<const ServiceObject *> services() const;
    [[nodiscard]] std::vector<const UpstreamObject *> upstreams() const;
    [[nodiscard]] std::vector<const DomainObject *> domains() const;
    [[nodiscard]] std::vector<const InstanceObject *> instances() const;

    [[nodiscard]] const UpstreamObject *upstream(std::string_view name) const;
    [[nodiscard]] const DomainObject *domain(std::string_view name) const;

    /** \returns the objects whose newest version cannot be decoded. */
    [[nodiscard]] std::vector<InvalidObject> invalid() const;

private:
    static constexpr std::size_t kindCount = 4;

    template <typename Object>
    struct Entry
    {
        std::uint64_t version = 0;
        std::optional<Object> lastValid; //!< Empty when deleted or never valid.
        std::vector<ObjectFault> faults; //!< Decoding faults of the newest version.
    };

    template <typename Object>
    using Entries = std::map<std::string, Entry<Object>, std::less<>>;

    template <typename Object>
    Outcome applyTo(Entries<Object> &entries, std::string_view name, std::uint64_t version,
                    const std::optional<boost::json::value> &value);
    template <typename Object>
    void removeUnlisted(Entries<Object> &entries, std::string_view kind, std::string_view prefix,
                        std::uint64_t revision, std::span<const ListedObject> objects);
    void updateConfigVersion(std::size_t kind, std::uint64_t version);

    Counters &counters;
    Entries<ServiceObject> serviceEntries;
    Entries<UpstreamObject> upstreamEntries;
    Entries<DomainObject> domainEntries;
    Entries<InstanceObject> instanceEntries;
    std::array<std::uint64_t, kindCount> revisions{};
    std::array<bool, kindCount> kindListed{};
    std::uint64_t newestConfigVersion = 0;
};

} // namespace bulrushgap

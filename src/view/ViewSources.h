#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "view/Member.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::balance {

/** \brief Selects the source from which an instance reads the deployment's state.
 *
 * Limits the load of hundreds of instances on the platform's store: in each failure domain the
 * instance with the highest rank reads from the store, the others read from it. After a failure an
 * instance uses the next source of its list, which also contains the store and instances of other
 * domains, so an instance that the store rejects still receives changes. There is no election: an
 * instance that receives a read request starts to read from the store.
 */
class ViewSources
{
public:
    ViewSources(std::string name, std::string domain);

    /** \brief Replaces the members; keeps the current source only for a while after a failure. */
    void update(std::span<const Member> members, TimePoint now);

    /** \returns the instance to read from, or nothing for the store. */
    [[nodiscard]] std::optional<Endpoint> current() const;

    /** \brief Selects the next source because the current one did not respond. */
    void onSourceFailed(TimePoint now);

    /** \brief Marks the view as complete. Before that, the store is next after a failed peer. */
    void onViewComplete() { this->starting = false; }
    [[nodiscard]] bool isStarting() const { return this->starting; }

    /** \brief Selects the preferred source again once the retry delay has passed. */
    void retryPreferred(TimePoint now);

    /** \brief Selects the store for a while because another instance reads from this one. */
    void onPeerRequest(TimePoint now);

    /** \returns whether this instance reads from the store, so that others may read from it. */
    [[nodiscard]] bool followsStore() const { return !this->current().has_value(); }

    /** \returns whether this instance is among the \a count instances that rendezvous hashing
     * selects for \a subject; instances with the same members agree. */
    [[nodiscard]] bool isSelected(std::string_view subject, unsigned count) const;

    [[nodiscard]] unsigned instancesInDomain() const { return this->domainInstances; }
    [[nodiscard]] unsigned instances() const { return this->totalInstances; }

private:
    void rankSources(std::vector<Member> members);
    [[nodiscard]] std::size_t storeIndex() const;

    std::string name;
    std::string domain;
    std::vector<std::optional<Endpoint>> sources{std::nullopt}; //!< In order of preference.
    std::size_t currentIndex = 0;
    std::vector<std::string> otherNames; //!< Names of all other instances.
    unsigned domainInstances = 1;
    unsigned totalInstances = 1;
    bool starting = true;
    TimePoint failedAt{};
    std::optional<TimePoint> peerRequestAt;
};

} // namespace bulrushgap::balance

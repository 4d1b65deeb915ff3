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

/** \brief Chooses from where an instance learns the deployment's state.
 *
 * Answers the load of hundreds of instances on the platform's store: in each failure domain the
 * instance that ranks first follows the store, the others follow that one. An instance without a
 * source that answers tries the next of its list, which holds the store and instances of other
 * domains as well, so an instance that the store turns away still learns of changes. Nobody is
 * elected: whoever is asked follows the store from then on.
 */
class ViewSources
{
public:
    ViewSources(std::string name, std::string domain);

    /** \brief Replaces the members; the present source stays unless another ranks before it. */
    void update(std::span<const Member> members, TimePoint now);

    /** \returns the peer to ask now, or nothing for the store itself. */
    [[nodiscard]] std::optional<Endpoint> current() const;

    /** \brief The present source did not answer: turns to the next one. */
    void onSourceFailed(TimePoint now);

    /** \brief The view is complete. Before that, the store is asked once the first source failed.
     */
    void onViewComplete() { this->starting = false; }
    [[nodiscard]] bool isStarting() const { return this->starting; }

    /** \brief Turns back to the preferred source if it is time to try it again. */
    void retryPreferred(TimePoint now);

    /** \brief Another instance asks this one: it must follow the store for a while. */
    void onPeerRequest(TimePoint now);

    /** \returns whether this instance follows the store itself, so that others may follow it. */
    [[nodiscard]] bool followsStore() const { return !this->current().has_value(); }

    /** \returns whether this instance is among \a count of all instances that a hash of \a subject
     * chooses; instances with the same members agree. */
    [[nodiscard]] bool isSelected(std::string_view subject, unsigned count) const;

    [[nodiscard]] unsigned instancesInDomain() const { return this->domainInstances; }
    [[nodiscard]] unsigned instances() const { return this->totalInstances; }

private:
    void rankSources(std::vector<Member> members);
    [[nodiscard]] std::size_t storeIndex() const;

    std::string name;
    std::string domain;
    std::vector<std::optional<Endpoint>> sources{
        std::nullopt}; //!< Sources, the preferred one first.
    std::size_t currentIndex = 0;
    std::vector<std::string> otherNames; //!< Of the other instances.
    unsigned domainInstances = 1;
    unsigned totalInstances = 1;
    bool starting = true;
    TimePoint failedAt{};
    std::optional<TimePoint> peerRequestAt;
};

} // namespace bulrushgap::balance

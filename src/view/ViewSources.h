#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "view/HedgedList.h"
#include "view/Member.h"
#include "view/ViewSource.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace bulrushgap::balance {

/** \brief Selects the source from which an instance reads the deployment's state.
 *
 * Limits the load of hundreds of instances on the platform's store and on each other: the instances
 * of a failure domain form a tree in the order of their rank (link rate, then name). The first one
 * reads from the store, each other one reads from its parent, and no instance has more than
 * \c maxChildren children. Parents rank before their children on every instance, so instances
 * with different member lists cannot form a loop. After a failure an instance uses the next source
 * of its list: its other ancestors, the store, and instances of other domains that read from the
 * store. An instance that is required to read from the store starts to do so. Once the view has
 * become too old, the list also has instances of any rank, which may have a current view while the
 * store refuses this one and its ancestors.
 *
 * A starting instance knows no other one except its seeds. It lists the members from the store or a
 * seed, the rest from the store, a strong instance of its domain or a seed; in a large domain the
 * strong instance comes before the store, since its replies are shorter. So an instance starts
 * without the store if another one has a view.
 */
class ViewSources
{
public:
    /** Number of instances that read from the same other one while all are up. */
    static constexpr std::size_t maxChildren = 4;

    /** \param seeds peer addresses that are known before the members; may include \a self
     *  \param firstStart whether no instance has a view yet and no caller waits, so that lists may
     *  wait for an instance that reads the store */
    explicit ViewSources(Member self, std::span<const Endpoint> seeds = {},
                         bool firstStart = false);

    /** \brief Replaces the members; keeps the current source only for a while after a failure. */
    void update(std::span<const Member> members, TimePoint now);

    /** \returns the source to read from. */
    [[nodiscard]] const ViewSource &current() const { return this->sources[this->currentIndex]; }

    /** \returns how a starting instance requests its lists. */
    [[nodiscard]] HedgedList::Plan startPlan() const;

    /** \brief Prefers the source to the store for the rest of the start. */
    void onStartAnswer(const ViewSource &source);

    /** \brief Selects the next source because the current one did not respond. */
    void onSourceFailed(TimePoint now);

    /** \brief Selects the store because the view has become too old; or, if the store has been
     * tried or this instance leaves that to others, an instance that asks the store. */
    void onViewStale(TimePoint now, bool storeTried);

    /** \brief Notes that the store has failed and the view is too old, so that other instances
     * follow in the list even if this instance has no source but the store. */
    void addAskersAfterStore();

    /** \returns whether this instance asks the store when its view becomes too old. In a large
     * domain some of all ranks do, and the others ask these. */
    [[nodiscard]] bool asksStoreWhenStale() const;

    /** \brief Ends the start and selects the preferred source. */
    void onViewComplete();
    [[nodiscard]] bool isStarting() const { return this->starting; }

    /** \brief Selects the preferred source again once the retry delay has passed. */
    void retryPreferred(TimePoint now);

    /** \brief Selects the store for a while because another instance requires it. */
    void onDirectRequest(TimePoint now);

    /** \returns whether this instance reads from the store. */
    [[nodiscard]] bool followsStore() const { return this->current().isStore(); }

    /** \returns how long an instance that has no source itself is kept as a source. Grows with the
     * rank, so that instances of one domain turn to the store one after the other. */
    [[nodiscard]] Duration busyGracePeriod() const;

    /** \returns the age up to which this instance serves its view after the loss of its own
     * source. */
    [[nodiscard]] Duration sourceLossGracePeriod() const;

    /** \returns the age of the view at which this instance leaves its source. */
    [[nodiscard]] Duration freshnessLimit() const;

    /** \returns whether this instance is among the \a count instances that rendezvous hashing
     * selects for \a subject; instances with the same members agree. */
    [[nodiscard]] bool isSelected(std::string_view subject, unsigned count) const;

    /** \returns all known instances but this one; valid until the next update. */
    [[nodiscard]] std::span<const Member> otherInstances() const { return this->others; }

    /** \returns another instance of a failure domain, in turn by \a number; nothing if there is
     * none. */
    [[nodiscard]] std::optional<Endpoint> instanceIn(std::string_view domain,
                                                     std::size_t number) const;

    /** \returns how many instances of the domain rendezvous hashing selects before this one. */
    [[nodiscard]] unsigned rankInDomain(std::string_view subject) const;

    [[nodiscard]] unsigned instancesInDomain() const
    {
        return static_cast<unsigned>(this->domainTree.size());
    }
    [[nodiscard]] unsigned instances() const
    {
        return static_cast<unsigned>(this->others.size() + 1);
    }

private:
    void rankMembers(std::span<const Member> members);
    void listSources();
    void addAncestors();
    void addOtherDomains();

    /** \brief Adds some of the instances that ask the store when their views become too old, if
     * this instance's view has. */
    void addStoreAskers(std::size_t offset, std::size_t count);
    void addSource(const ViewSource &source);
    [[nodiscard]] std::size_t storeIndex() const;

    /** \returns the rendezvous hash of a subject and an instance. */
    [[nodiscard]] static std::uint64_t hashOf(std::string_view subject, std::string_view name);

    /** \returns an instance of the own domain that suits the lists of a start, or nothing. */
    [[nodiscard]] std::optional<Endpoint> startPeer() const;

    Member self;
    bool waitAtStart;
    std::vector<Endpoint> seeds;      //!< Without this instance.
    std::vector<Member> others;       //!< All other instances in the order of their rank.
    std::vector<Endpoint> domainTree; //!< Own domain in the order of rank, this instance included.
    std::size_t rank = 0;             //!< Index of this instance in the tree.
    std::vector<ViewSource> sources;  //!< In order of preference; never empty.
    std::optional<ViewSource> startSource; //!< Instance that has answered before the store.
    std::size_t currentIndex = 0;
    std::vector<Endpoint> storeAskers; //!< Other instances that ask the store with an old view.
    std::size_t nextAsker = 0;         //!< Selects those that are listed.
    bool stale = false;                //!< The view has become too old at the preferred source.
    bool starting = true;
    TimePoint failedAt{};
    std::optional<TimePoint> directRequestAt;
};

} // namespace bulrushgap::balance

#pragma once

#include "base/Scheduler.h"
#include "view/ViewObject.h"
#include "view/ViewSource.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace bulrushgap::balance {

/** \brief One list that is requested from several sources, one after the other.
 *
 * The next source is asked when the earlier ones have failed or not answered for some time; a
 * source that is known to respond gets more time, since lists differ in size, and no other is asked
 * while its answer goes on arriving. The first usable answer is the result; if there is none, the
 * last failure is.
 */
class HedgedList : public std::enable_shared_from_this<HedgedList>
{
public:
    using ListHandler = ViewStore::ListHandler;

    /** \brief Requests the list from one source. */
    using Send = std::function<void(const ViewSource &source, ListHandler handler)>;

    /** \brief In which order sources are asked, and when the next one is. */
    struct Plan
    {
        std::vector<ViewSource> order; //!< Not empty.
        Duration delay{};              //!< Time without an answer after which the next is asked.
        Duration respondingDelay{};    //!< The same for a source that has answered another list.
    };

    /** \returns whether a source has answered another list. */
    using RespondingCheck = std::function<bool(const ViewSource &source)>;

    /** \returns whether bytes of an answer of a source have come just now. */
    using ArrivingCheck = std::function<bool(const ViewSource &source)>;

    struct Hooks
    {
        Send send;
        RespondingCheck isResponding;
        ArrivingCheck isArriving;
    };

    /** \brief Sends the first request. */
    static void start(const Scheduler &scheduler, Plan plan, Hooks hooks, ListHandler handler);

    HedgedList(const Scheduler &scheduler, Plan plan, Hooks hooks, ListHandler handler);

private:
    void askNext();
    void waitForAnswer(Duration delay);
    void onDelayElapsed(Duration waited);
    void onAnswer(ViewList list);

    const Scheduler &scheduler;
    Plan plan;
    Hooks hooks;
    ListHandler handler; //!< Empty once the result is known.
    Scheduler::Timer timer;
    std::size_t asked = 0;
    std::size_t failed = 0;
};

} // namespace bulrushgap::balance

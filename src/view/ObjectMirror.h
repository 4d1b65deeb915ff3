#pragma once

#include "base/Scheduler.h"
#include "view/ObjectWatch.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bulrushgap::balance {

/** \brief What another instance gets on a read: Ok, Gone or Busy, and for Ok an encoded body. */
struct MirrorReply
{
    PlatformResult result = PlatformResult::Busy;
    std::string body;
};

/** \brief Answers other instances' lists and watches as the store does, from what this one knows.
 *
 * It answers only while this instance follows the store itself; else with Busy, and the hook learns
 * that another instance asks.
 */
class ObjectMirror
{
public:
    using Responder = std::function<void(MirrorReply reply)>;

    /** \returns whether this instance follows the store itself and it answers. */
    using DirectCheck = std::function<bool()>;

    ObjectMirror(const Scheduler &scheduler, DirectCheck isDirect);
    ~ObjectMirror() { this->refuseWaiting(); }
    ObjectMirror(const ObjectMirror &) = delete;
    ObjectMirror &operator=(const ObjectMirror &) = delete;

    void list(std::string_view kind, const Responder &respond) const;

    /** \brief Answers once there is a change after \a since, or after \a wait. */
    void watch(std::string_view kind, std::uint64_t since, Duration wait, const Responder &respond);

    /** \brief Takes over what a watch of \a kind has brought, and tells those who wait for it. */
    void apply(std::string_view kind, const WatchUpdate &update);

    /** \brief Answers all waiting watches with Busy: the store can't be followed any more. */
    void refuseWaiting();

private:
    struct Change
    {
        std::uint64_t revision = 0; //!< Store revision that the change brought the kind to.
        std::string event;          //!< As in the answer to a watch.
    };

    struct Object
    {
        std::uint64_t revision = 0;
        std::string item; //!< As in the answer to a list.
    };

    struct Waiting
    {
        std::uint64_t since = 0;
        Responder respond;
        Scheduler::Timer timer;
    };
    using WaitingPtr = std::shared_ptr<Waiting>;

    struct Kind
    {
        bool known = false;
        std::uint64_t revision = 0;
        std::uint64_t oldest = 0; //!< Changes after this revision are in the history.
        std::map<std::string, Object, std::less<>> objects;
        std::deque<Change> history;
        std::list<WaitingPtr> waiting;
    };

    /** \returns the kind if it can be served now, or nullptr. */
    [[nodiscard]] const Kind *servable(std::string_view kind) const;
    void keep(Kind &kind, const WatchEvent &event, std::uint64_t revision);
    void answerWaiting(Kind &kind);
    void endWait(Kind &kind, const WaitingPtr &waiting);
    [[nodiscard]] static std::string changesSince(const Kind &kind, std::uint64_t since);

    const Scheduler &scheduler;
    DirectCheck isDirect;
    std::map<std::string, Kind, std::less<>> kinds;
};

} // namespace bulrushgap::balance

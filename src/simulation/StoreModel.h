#pragma once

#include "base/Scheduler.h"
#include "view/ViewObject.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bulrushgap::simulation {

using balance::ViewEvents;
using balance::ViewKind;
using balance::ViewList;
using balance::ViewObject;

/** \brief The platform's store: versioned objects with watches and a bounded history. */
class StoreModel
{
    using Objects = std::map<std::string, balance::ViewItem, std::less<>>;

public:
    /** \brief Objects and revision of one point in time. */
    struct Copy
    {
        std::uint64_t revision = 0;
        std::array<Objects, balance::viewKindCount> objects;
    };

    using EventsHandler = std::function<void(const ViewEvents &events)>;

    /** \param history how long changes are kept. */
    StoreModel(const Scheduler &scheduler, Duration history)
        : scheduler(scheduler)
        , history(history)
    {}

    /** \brief Writes an object; a value that changes nothing makes no event. */
    void put(ViewKind kind, const std::string &name, const ViewObject &value);
    void remove(ViewKind kind, const std::string &name);

    /** \returns the object's revision, or nothing if there is none. */
    [[nodiscard]] std::optional<std::uint64_t> revisionOf(ViewKind kind,
                                                          const std::string &name) const;

    [[nodiscard]] ViewList list(ViewKind kind) const;

    /** \brief Answers once there is a change after \a since, or after \a wait. */
    void watch(ViewKind kind, StoreRevision since, Duration wait, EventsHandler handler);

    /** \brief Drops the history: watches from before now are told so. */
    void forgetHistory();

    [[nodiscard]] Copy copy() const { return {this->current, this->objects}; }

    /** \brief Loses all changes since a copy was taken, and the history, and begins a new era. */
    void restore(Copy copy);

    /** \brief Drops waiting watches; their handlers are not called. */
    void cutWatches() { this->waiting.clear(); }

    [[nodiscard]] std::uint64_t revision() const { return this->current; }
    [[nodiscard]] std::uint64_t era() const { return this->currentEra; }

private:
    struct Change
    {
        TimePoint at;
        ViewKind kind;
        balance::ViewEvent event;
    };

    struct Waiting
    {
        ViewKind kind;
        std::uint64_t since = 0;
        EventsHandler handler;
        Scheduler::Timer timer;
    };

    [[nodiscard]] Objects &objectsOf(ViewKind kind)
    {
        return this->objects.at(static_cast<std::size_t>(kind));
    }
    void record(ViewKind kind, balance::ViewEvent event);
    [[nodiscard]] ViewEvents changesSince(ViewKind kind, std::uint64_t since) const;

    const Scheduler &scheduler;
    Duration history;
    std::uint64_t currentEra = 0;
    std::uint64_t current = 1;
    std::uint64_t oldest = 0; //!< Changes after this revision are known.
    std::array<Objects, balance::viewKindCount> objects;
    std::deque<Change> changes;
    std::list<std::shared_ptr<Waiting>> waiting;
};

} // namespace bulrushgap::simulation

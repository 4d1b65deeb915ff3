#pragma once

#include "base/Time.h"
#include "view/ViewObject.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace bulrushgap::balance {

/** \brief Source of the view: the store or another instance. */
class ObjectSource
{
public:
    using ListHandler = ViewStore::ListHandler;
    using WatchHandler = ViewStore::WatchHandler;

    ObjectSource() = default;
    virtual ~ObjectSource() = default;
    ObjectSource(const ObjectSource &) = delete;
    ObjectSource &operator=(const ObjectSource &) = delete;

    virtual void list(ViewKind kind, ListHandler handler) = 0;

    /** \brief Waits for events after \a since, for at most \a wait. */
    virtual void watchFor(ViewKind kind, StoreRevision since, std::chrono::milliseconds wait,
                          WatchHandler handler)
        = 0;

    /** \brief Drops all pending watches without calling their handlers; pending lists may fail. */
    virtual void dropWatches() = 0;

    /** \returns when bytes of an answer that is still incomplete last arrived, or nothing. */
    [[nodiscard]] virtual std::optional<TimePoint> lastArrival() const { return std::nullopt; }
};

/** \brief Writes the registration entries of instances. */
class MemberStore
{
public:
    using WriteHandler = std::function<void(PlatformResult result)>;

    MemberStore() = default;
    virtual ~MemberStore() = default;
    MemberStore(const MemberStore &) = delete;
    MemberStore &operator=(const MemberStore &) = delete;

    /** \brief Creates an entry; Conflict if it exists. */
    virtual void createMember(const Member &member, WriteHandler handler) = 0;

    /** \brief Replaces an entry, whatever its revision. */
    virtual void replaceMember(const Member &member, WriteHandler handler) = 0;

    /** \brief Removes an entry; Conflict if its revision is not \a revision. */
    virtual void removeMember(std::string_view name, StoreRevision revision, WriteHandler handler)
        = 0;
};

} // namespace bulrushgap::balance

#pragma once

#include "view/ViewObject.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>

namespace bulrushgap::balance {

/** \brief Where the view can be read: the store, or another instance. */
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

    /** \brief Waits for events after \a since, for \a wait at the longest. */
    virtual void watchFor(ViewKind kind, std::uint64_t since, std::chrono::milliseconds wait,
                          WatchHandler handler)
        = 0;

    /** \brief Drops all waiting watches without calling their handlers; lists may fail. */
    virtual void dropWatches() = 0;
};

/** \brief Writes the entries of instances. */
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
    virtual void removeMember(std::string_view name, std::uint64_t revision, WriteHandler handler)
        = 0;
};

} // namespace bulrushgap::balance

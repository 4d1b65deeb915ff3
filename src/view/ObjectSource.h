#pragma once

#include "store/ObjectStore.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>

namespace bulrushgap {

/** \brief Where objects of the deployment can be read: the store, or another instance. */
class ObjectSource
{
public:
    using ListHandler = WatchableStore::ListHandler;
    using WatchHandler = WatchableStore::WatchHandler;

    ObjectSource() = default;
    virtual ~ObjectSource() = default;
    ObjectSource(const ObjectSource &) = delete;
    ObjectSource &operator=(const ObjectSource &) = delete;

    virtual void list(std::string_view kind, ListHandler handler) = 0;

    /** \brief Waits for events after \a since, for \a wait at the longest. */
    virtual void watchFor(std::string_view kind, std::uint64_t since,
                          std::chrono::milliseconds wait, WatchHandler handler)
        = 0;

    /** \brief Drops all waiting watches without calling their handlers. */
    virtual void dropWatches() = 0;
};

/** \brief Writes to objects of the system's own kinds. */
class ObjectWriter
{
public:
    using WriteHandler = std::function<void(PlatformResult result)>;

    ObjectWriter() = default;
    virtual ~ObjectWriter() = default;
    ObjectWriter(const ObjectWriter &) = delete;
    ObjectWriter &operator=(const ObjectWriter &) = delete;

    /** \brief Creates an object; Conflict if it exists. */
    virtual void create(std::string_view kind, std::string_view name,
                        const boost::json::value &spec, WriteHandler handler)
        = 0;

    /** \brief Replaces an object, whatever its revision. */
    virtual void replace(std::string_view kind, std::string_view name,
                         const boost::json::value &spec, WriteHandler handler)
        = 0;

    /** \brief Removes an object; Conflict if its revision is not \a revision. */
    virtual void remove(std::string_view kind, std::string_view name, std::uint64_t revision,
                        WriteHandler handler)
        = 0;
};

} // namespace bulrushgap

#pragma once

#include "base/Time.h"
#include "store/StoreRevision.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Result of a call to the platform's object API. */
enum class PlatformResult {
    Ok,
    Conflict,    //!< The object has another version; nothing was changed.
    NotFound,    //!< There is no such object.
    Gone,        //!< Watches only: the history no longer includes the revision.
    TooMany,     //!< The platform's rate limit was exceeded; nothing was changed.
    TooLarge,    //!< The value exceeds 1 MB; nothing was changed.
    Busy,        //!< The server cannot serve the call at the moment; nothing was changed.
    Unavailable, //!< No usable response; a write was certainly not applied.
    LostAnswer,  //!< Writes only: no usable response; the write may have been applied.
};

[[nodiscard]] std::string_view toString(PlatformResult result);

/** \brief How current a reply is; that of the platform itself is current. */
struct ReplyFreshness
{
    Duration age{};           //!< Since the platform confirmed the data.
    Duration registryGrace{}; //!< How long entries missing from the registry stay usable.
};

template <typename Value>
struct BasicStoredObject
{
    std::string key;
    StoreRevision version; //!< Revision of its last change.
    Value value{};
};

template <typename Value>
struct BasicListOutcome
{
    PlatformResult result = PlatformResult::Unavailable;
    StoreRevision revision;
    std::vector<BasicStoredObject<Value>> objects;
    ReplyFreshness freshness{};
};

template <typename Value>
struct BasicWatchEvent
{
    std::string key;
    StoreRevision version;      //!< Of the change; an answer may have changes of several eras.
    std::optional<Value> value; //!< Empty if the object was deleted.
};

template <typename Value>
struct BasicWatchOutcome
{
    PlatformResult result = PlatformResult::Unavailable;
    StoreRevision revision;
    std::vector<BasicWatchEvent<Value>> events;
    ReplyFreshness freshness{};
};

/** \brief Objects that can be listed and watched; handlers are called asynchronously.
 *
 * \sa ObjectWatch
 * \tparam Key identifies a set of objects: a prefix of their keys, or their kind.
 */
template <typename Key, typename Value>
class BasicWatchableStore
{
public:
    using ListHandler = std::function<void(BasicListOutcome<Value> outcome)>;
    using WatchHandler = std::function<void(BasicWatchOutcome<Value> outcome)>;

    BasicWatchableStore() = default;
    virtual ~BasicWatchableStore() = default;
    BasicWatchableStore(const BasicWatchableStore &) = delete;
    BasicWatchableStore &operator=(const BasicWatchableStore &) = delete;

    virtual void list(Key key, ListHandler handler) = 0;

    /** \brief Issues one long poll for events after \a since. */
    virtual void watch(Key key, StoreRevision since, WatchHandler handler) = 0;
};

using StoredObject = BasicStoredObject<boost::json::value>;
using ListOutcome = BasicListOutcome<boost::json::value>;
using WatchEvent = BasicWatchEvent<boost::json::value>;
using WatchOutcome = BasicWatchOutcome<boost::json::value>;
using WatchableStore = BasicWatchableStore<std::string_view, boost::json::value>;

struct GetOutcome
{
    PlatformResult result = PlatformResult::Unavailable;
    StoredObject object;
};

struct WriteOutcome
{
    PlatformResult result = PlatformResult::Unavailable;
    std::uint64_t version = 0; //!< New version, or the current one after a conflict; 0 for none.
};

/** \brief Versioned objects with conditional updates; handlers are called asynchronously. */
class ObjectStore
{
public:
    using ListHandler = std::function<void(ListOutcome outcome)>;
    using GetHandler = std::function<void(GetOutcome outcome)>;
    using WriteHandler = std::function<void(WriteOutcome outcome)>;

    ObjectStore() = default;
    virtual ~ObjectStore() = default;
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;

    virtual void list(std::string_view prefix, ListHandler handler) = 0;
    virtual void get(std::string_view key, GetHandler handler) = 0;

    /** \brief Writes \a value if the object has \a version; 0 means that it must not exist. */
    virtual void put(std::string_view key, const boost::json::value &value, std::uint64_t version,
                     WriteHandler handler)
        = 0;
    virtual void remove(std::string_view key, std::uint64_t version, WriteHandler handler) = 0;
};

} // namespace bulrushgap

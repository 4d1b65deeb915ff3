#pragma once

#include "base/Counters.h"
#include "base/Endpoint.h"
#include "service/HttpClient.h"
#include "store/ObjectStore.h"

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace bulrushgap {

struct PlatformTimeouts
{
    std::chrono::milliseconds call{2'000};
    std::chrono::milliseconds watch{20'000}; //!< How long a watch waits for an event.
    std::chrono::milliseconds idle{1'000};   //!< Without further bytes of an answer that has begun.
};

/** \brief Client of the platform's object API.
 *
 * Counts its calls as "platform_read", "platform_write" and "platform_watch". Pending handlers are
 * dropped when the client is destroyed.
 */
class PlatformClient : public ObjectStore, public WatchableStore
{
public:
    using ObjectStore::ListHandler;

    PlatformClient(boost::asio::io_context &context, Endpoint platform, Counters &counters,
                   PlatformTimeouts timeouts = {});

    void list(std::string_view prefix, ListHandler handler) override;
    void get(std::string_view key, GetHandler handler) override;
    void put(std::string_view key, const boost::json::value &value, std::uint64_t version,
             WriteHandler handler) override;
    void remove(std::string_view key, std::uint64_t version, WriteHandler handler) override;

    /** \brief Reads the list of live and leaving instances, which lags behind the objects. */
    void instances(ListHandler handler);

    void watch(std::string_view prefix, StoreRevision since, WatchHandler handler) override;

private:
    void read(std::string target, ListHandler handler);
    void write(HttpCall call, WriteHandler handler);

    Counters &counters;
    PlatformTimeouts timeouts;
    HttpClient calls;
    HttpClient watches; //!< Separate connections, so that watches do not delay calls.
};

} // namespace bulrushgap

#pragma once

#include "base/Counters.h"
#include "store/PlatformClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace bulrushgap {

/** \brief Reads the platform's list of live instances every 500 ms and leaves out those whose
 * process does not accept connections: nobody removes the object of an instance that was killed. */
class InstancePoller
{
public:
    using Handler = std::function<void(std::vector<Endpoint> dataAddresses)>;

    InstancePoller(boost::asio::io_context &context, Endpoint platform, Handler handler);

private:
    /** \brief Addresses of a listed instance. */
    struct Listed
    {
        Endpoint data;
        Endpoint peer;
    };

    /** \returns the live instances; malformed objects are left out. */
    [[nodiscard]] static std::vector<Listed> liveOf(const std::vector<StoredObject> &objects);

    void poll();
    void check(const std::vector<Listed> &listed);

    boost::asio::io_context &context;

    Counters counters;
    PlatformClient client;
    boost::asio::steady_timer timer;
    Handler handler;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0); //!< Watched by pending checks.
};

} // namespace bulrushgap

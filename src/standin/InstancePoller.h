#pragma once

#include "base/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Reads the platform's list of live instances every 500 ms. */
class InstancePoller
{
public:
    using Handler = std::function<void(std::vector<Endpoint>)>;

    InstancePoller(boost::asio::io_context &context, Endpoint platform, Handler handler);

    /** \returns data addresses of the live instances in an answer; throws if it is malformed. */
    [[nodiscard]] static std::vector<Endpoint> parse(std::string_view body);

private:
    void poll();

    boost::asio::io_context &context;
    Endpoint platform;
    boost::asio::steady_timer timer;
    std::shared_ptr<Handler> handler; //!< Watched by requests, owned here.
};

} // namespace bulrushgap

#pragma once

#include "base/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <memory>

namespace bulrushgap {

struct ControlHandlers
{
    std::function<boost::json::value()> stats;
    /** Throws StandinSettingsError for wrong values. */
    std::function<void(const boost::json::value &)> faults;
};

/** \brief HTTP server of a stand-in: GET /standin/stats and POST /standin/faults. */
class ControlServer
{
public:
    /** \throws boost::system::system_error if the address cannot be listened on. */
    ControlServer(boost::asio::io_context &context, Endpoint listen, ControlHandlers handlers);

    [[nodiscard]] Endpoint address() const;

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<const ControlHandlers> handlers; //!< Watched by sessions, owned here.
};

} // namespace bulrushgap

#include "standin/ConnectionCheck.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>
#include <utility>

namespace bulrushgap {

namespace internal {

/** \brief Connections that are being tried; ends when all have a result or the time is over. */
struct ConnectionRound
{
    ConnectionRound(boost::asio::io_context &context,
                    std::function<void(std::vector<Endpoint>)> handler)
        : timer(context)
        , handler(std::move(handler))
    {}

    void finish()
    {
        if (!this->handler)
            return;
        this->timer.cancel();
        this->sockets.clear();
        std::exchange(this->handler, {})(std::move(this->accepting));
    }

    boost::asio::steady_timer timer;
    std::function<void(std::vector<Endpoint>)> handler;
    std::list<boost::asio::ip::tcp::socket> sockets;
    std::vector<Endpoint> accepting;
    std::size_t pending = 0;
};

} // namespace internal

void checkConnections(boost::asio::io_context &context, std::span<const Endpoint> addresses,
                      std::chrono::milliseconds timeout,
                      std::function<void(std::vector<Endpoint> accepting)> handler)
{
    const auto round = std::make_shared<internal::ConnectionRound>(context, std::move(handler));
    round->pending = addresses.size();
    for (const Endpoint address : addresses) {
        auto &socket = round->sockets.emplace_back(context);
        socket.async_connect({boost::asio::ip::address_v4(address.address), address.port},
                             [round, address](boost::system::error_code error) {
                                 if (!error)
                                     round->accepting.push_back(address);
                                 if (--round->pending == 0)
                                     round->finish();
                             });
    }
    round->timer.expires_after(addresses.empty() ? std::chrono::milliseconds(0) : timeout);
    round->timer.async_wait([round](boost::system::error_code error) {
        if (!error)
            round->finish();
    });
}

} // namespace bulrushgap

#include "standin/InstancePoller.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>

namespace bulrushgap {

namespace internal {

namespace http = boost::beast::http;

constexpr auto pollInterval = std::chrono::milliseconds(500);
constexpr auto requestLimit = std::chrono::seconds(2);

/** \brief One GET /instances; a failed one leaves the earlier list in use. */
class InstancesRequest : public std::enable_shared_from_this<InstancesRequest>
{
public:
    InstancesRequest(boost::asio::io_context &context,
                     std::weak_ptr<InstancePoller::Handler> handler)
        : stream(context)
        , handler(std::move(handler))
    {}

    void start(Endpoint platform)
    {
        this->request = {http::verb::get, "/instances", 11};
        this->request.set(http::field::host, platform.toString());
        this->request.keep_alive(false);
        this->stream.expires_after(requestLimit);
        const boost::asio::ip::tcp::endpoint address(boost::asio::ip::address_v4(platform.address),
                                                     platform.port);
        this->stream.async_connect(
            address, [self = this->shared_from_this()](const boost::system::error_code &error) {
                if (!error)
                    self->write();
            });
    }

private:
    void write()
    {
        http::async_write(
            this->stream, this->request,
            [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (!error)
                    self->read();
            });
    }

    void read()
    {
        http::async_read(
            this->stream, this->buffer, this->response,
            [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (!error && self->response.result() == http::status::ok)
                    self->finish();
            });
    }

    void finish()
    {
        const auto current = this->handler.lock();
        if (!current)
            return;
        std::vector<Endpoint> instances;
        try {
            instances = InstancePoller::parse(this->response.body());
        } catch (const std::exception &) {
            return;
        }
        (*current)(std::move(instances));
    }

    boost::beast::tcp_stream stream;
    std::weak_ptr<InstancePoller::Handler> handler;
    boost::beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    http::response<http::string_body> response;
};

} // namespace internal

InstancePoller::InstancePoller(boost::asio::io_context &context, Endpoint platform, Handler handler)
    : context(context)
    , platform(platform)
    , timer(context)
    , handler(std::make_shared<Handler>(std::move(handler)))
{
    this->poll();
}

void InstancePoller::poll()
{
    std::make_shared<internal::InstancesRequest>(this->context, this->handler)
        ->start(this->platform);
    this->timer.expires_after(internal::pollInterval);
    this->timer.async_wait([this, watch = std::weak_ptr<Handler>(this->handler)](
                               const boost::system::error_code &error) {
        if (!error && !watch.expired())
            this->poll();
    });
}

std::vector<Endpoint> InstancePoller::parse(std::string_view body)
{
    std::vector<Endpoint> instances;
    const auto root = boost::json::parse({body.data(), body.size()});
    for (const auto &each : root.at("instances").as_array()) {
        const auto &value = each.at("value");
        const auto &address = value.at("dataAddress").as_string();
        const auto endpoint = Endpoint::parse({address.data(), address.size()});
        if (endpoint && value.at("state") == "live")
            instances.push_back(*endpoint);
    }
    return instances;
}

} // namespace bulrushgap

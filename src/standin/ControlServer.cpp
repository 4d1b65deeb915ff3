#include "standin/ControlServer.h"

#include "standin/StandinSettings.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bulrushgap {

namespace internal {

namespace http = boost::beast::http;

constexpr auto sessionLimit = std::chrono::seconds(5);

/** \brief One connection with one request. */
class ControlSession : public std::enable_shared_from_this<ControlSession>
{
public:
    ControlSession(boost::asio::ip::tcp::socket socket,
                   std::weak_ptr<const ControlHandlers> handlers)
        : stream(std::move(socket))
        , handlers(std::move(handlers))
    {}

    void start()
    {
        this->stream.expires_after(sessionLimit);
        http::async_read(
            this->stream, this->buffer, this->request,
            [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (!error)
                    self->answer();
            });
    }

private:
    void answer()
    {
        const auto current = this->handlers.lock();
        if (!current)
            return;
        this->response.version(this->request.version());
        this->response.keep_alive(false);
        this->response.set(http::field::content_type, "application/json");
        this->fill(*current);
        this->response.prepare_payload();
        http::async_write(
            this->stream, this->response,
            [self = this->shared_from_this()](const boost::system::error_code &, std::size_t) {});
    }

    void fill(const ControlHandlers &current)
    {
        const auto method = this->request.method();
        if (method == http::verb::get && this->request.target() == "/standin/stats") {
            this->response.result(http::status::ok);
            this->response.body() = boost::json::serialize(current.stats());
        } else if (method == http::verb::post && this->request.target() == "/standin/faults") {
            this->setFaults(current);
        } else {
            this->response.result(http::status::not_found);
            this->response.body() = R"({"error": "unknown target"})";
        }
    }

    void setFaults(const ControlHandlers &current)
    {
        try {
            current.faults(boost::json::parse(this->request.body()));
            this->response.result(http::status::ok);
            this->response.body() = "{}";
        } catch (const std::exception &error) {
            this->response.result(http::status::bad_request);
            this->response.body()
                = boost::json::serialize(boost::json::object{{"error", error.what()}});
        }
    }

    boost::beast::tcp_stream stream;
    std::weak_ptr<const ControlHandlers> handlers;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
};

} // namespace internal

ControlServer::ControlServer(boost::asio::io_context &context, Endpoint listen,
                             ControlHandlers handlers)
    : acceptor(context, {boost::asio::ip::address_v4(listen.address), listen.port}, true)
    , handlers(std::make_shared<const ControlHandlers>(std::move(handlers)))
{
    this->accept();
}

Endpoint ControlServer::address() const
{
    const auto local = this->acceptor.local_endpoint();
    return {local.address().to_v4().to_uint(), local.port()};
}

void ControlServer::accept()
{
    this->acceptor.async_accept(
        [this, watch = std::weak_ptr<const ControlHandlers>(this->handlers)](
            const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (watch.expired() || error == boost::asio::error::operation_aborted)
                return;
            if (!error)
                std::make_shared<internal::ControlSession>(std::move(socket), watch)->start();
            this->accept();
        });
}

} // namespace bulrushgap

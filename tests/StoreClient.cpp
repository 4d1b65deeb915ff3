#include "platform/StoreClient.h"

#include "Loopback.h"
#include "platform/ObjectCodec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <list>
#include <memory>
#include <string>
#include <vector>

using namespace bulrushgap;
using balance::ViewKind;
using balance::ViewList;

namespace {

namespace asio = boost::asio;

std::string answerOf(const std::string &name)
{
    const std::string body
        = R"({"items":[{"meta":{"name":")" + name
          + R"(","revision":7},"spec":{},"status":null}],"has_more":false,"as_of":7})";
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** \brief A server that answers each request twice: at once, and again before the next answer. */
class RepeatingServer
{
public:
    explicit RepeatingServer(asio::io_context &context)
        : acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        this->accept();
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {0x7f000001, this->acceptor.local_endpoint().port()};
    }

private:
    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket socket)
            : socket(std::move(socket))
        {}

        asio::ip::tcp::socket socket;
        std::array<char, 4'096> input{};
        std::string lastAnswer;
    };

    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
                if (error)
                    return;
                this->connections.emplace_back(std::move(socket));
                this->read(this->connections.back());
                this->accept();
            });
    }

    void read(Connection &connection)
    {
        connection.socket.async_read_some(
            asio::buffer(connection.input),
            [this, &connection](boost::system::error_code error, std::size_t size) {
                if (error)
                    return;
                const std::string request(connection.input.data(), size);
                const std::size_t begin = request.rfind('/', request.find(" HTTP")) + 1;
                const std::string kind = request.substr(begin, request.find(" HTTP") - begin);
                const std::string answer = answerOf("of-" + kind);
                boost::system::error_code ignored;
                asio::write(connection.socket, asio::buffer(connection.lastAnswer + answer),
                            ignored);
                connection.lastAnswer = answer;
                this->read(connection);
            });
    }

    asio::ip::tcp::acceptor acceptor;
    std::list<Connection> connections;
};

} // namespace

// Guards against a second copy of an answer that arrives when its connection is in use again: the
// next call would get an answer of another kind.
TEST_CASE("a repeated answer is not taken for that of another kind", "[StoreClient]")
{
    asio::io_context context;
    RepeatingServer server(context);
    Counters counters;
    platform::StoreClient client(context, server.endpoint(), counters);
    const auto list = [&](ViewKind kind) {
        return await<ViewList>(context, [&](balance::ObjectSource::ListHandler handler) {
            client.list(kind, std::move(handler));
        });
    };
    const std::vector<ViewKind> kinds{ViewKind::Evacuations, ViewKind::Upstreams, ViewKind::Members,
                                      ViewKind::Evacuations};
    for (const ViewKind kind : kinds) {
        const ViewList result = list(kind);
        REQUIRE(result.objects.size() == 1);
        CHECK(result.objects[0].key == "of-" + std::string(platform::kindName(kind)));
    }
}

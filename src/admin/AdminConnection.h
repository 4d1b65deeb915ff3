#pragma once

#include "base/Endpoint.h"
#include "service/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <string>

namespace bulrushgap {

/** \brief An answer of the administration API, or why there is none. */
struct AdminAnswer
{
    HttpFailure failure = HttpFailure::None;
    unsigned status = 0;
    boost::json::object body;

    [[nodiscard]] bool succeeded() const
    {
        return this->failure == HttpFailure::None && this->status < 300;
    }
};

/** \brief Blocking calls of the administration API, for commands. */
class AdminConnection
{
public:
    explicit AdminConnection(Endpoint admin)
        : client(context, admin)
    {}

    /** \brief Calls and waits for the answer or the timeout of \a call. */
    [[nodiscard]] AdminAnswer send(HttpCall call);

    [[nodiscard]] AdminAnswer get(const std::string &target);

    /** \brief Waits without a call. */
    void pause(std::chrono::milliseconds time);

private:
    boost::asio::io_context context{1};
    HttpClient client;
};

} // namespace bulrushgap

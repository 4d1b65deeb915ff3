#include "admin/AdminConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>

#include <utility>

namespace bulrushgap {

AdminAnswer AdminConnection::send(HttpCall call)
{
    AdminAnswer answer{HttpFailure::NoResponse, 0, {}};
    bool done = false;
    this->client.send(std::move(call), [&](const HttpOutcome &outcome) {
        boost::system::error_code error;
        boost::json::value body = boost::json::parse(outcome.body, error);
        answer.failure = outcome.failure;
        answer.status = outcome.status;
        if (!error && body.is_object())
            answer.body = std::move(*body.if_object());
        done = true;
    });
    this->context.restart();
    while (!done && this->context.run_one() > 0) {
    }
    return answer;
}

AdminAnswer AdminConnection::get(const std::string &target)
{
    HttpCall call;
    call.target = target;
    call.timeout = std::chrono::seconds(5);
    call.idempotent = true;
    return this->send(std::move(call));
}

void AdminConnection::pause(std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(this->context, time);
    timer.wait();
}

} // namespace bulrushgap

#include "standin/InstancePoller.h"

#include "plan/InstanceObject.h"

#include <boost/leaf/handle_errors.hpp>

#include <chrono>
#include <utility>

namespace bulrushgap {

namespace internal {

constexpr std::chrono::milliseconds pollInterval{500};

} // namespace internal

InstancePoller::InstancePoller(boost::asio::io_context &context, Endpoint platform, Handler handler)
    : client(context, platform, this->counters)
    , timer(context)
    , handler(std::move(handler))
{
    this->poll();
}

void InstancePoller::poll()
{
    this->client.instances([this](const ListOutcome &outcome) {
        if (outcome.result == PlatformResult::Ok)
            this->handler(liveOf(outcome.objects));
    });
    this->timer.expires_after(internal::pollInterval);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->poll();
    });
}

std::vector<Endpoint> InstancePoller::liveOf(const std::vector<StoredObject> &objects)
{
    std::vector<Endpoint> addresses;
    for (const auto &object : objects) {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(instance, InstanceObject::fromJson(object.key, object.value));
                if (!instance.leaving)
                    addresses.push_back(instance.dataAddress);
                return {};
            },
            [] {});
    }
    return addresses;
}

} // namespace bulrushgap

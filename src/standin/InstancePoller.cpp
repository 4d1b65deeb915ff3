#include "standin/InstancePoller.h"

#include "plan/InstanceObject.h"
#include "standin/ConnectionCheck.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace bulrushgap {

namespace internal {

constexpr std::chrono::milliseconds pollInterval{500};
constexpr std::chrono::milliseconds connectTimeout{300};

} // namespace internal

InstancePoller::InstancePoller(boost::asio::io_context &context, Endpoint platform, Handler handler)
    : context(context)
    , client(context, platform, this->counters)
    , timer(context)
    , handler(std::move(handler))
{
    this->poll();
}

void InstancePoller::poll()
{
    this->client.instances([this](const ListOutcome &outcome) {
        if (outcome.result == PlatformResult::Ok)
            this->check(liveOf(outcome.objects));
    });
    this->timer.expires_after(internal::pollInterval);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->poll();
    });
}

void InstancePoller::check(const std::vector<Listed> &listed)
{
    std::vector<Endpoint> peers;
    peers.reserve(listed.size());
    for (const Listed &instance : listed)
        peers.push_back(instance.peer);
    checkConnections(this->context, peers, internal::connectTimeout,
                     [this, listed, watch = std::weak_ptr<int>(this->lifetime)](
                         const std::vector<Endpoint> &accepting) {
                         if (watch.expired())
                             return;
                         std::vector<Endpoint> addresses;
                         for (const Listed &instance : listed) {
                             if (std::ranges::find(accepting, instance.peer) != accepting.end())
                                 addresses.push_back(instance.data);
                         }
                         this->handler(std::move(addresses));
                     });
}

std::vector<InstancePoller::Listed> InstancePoller::liveOf(const std::vector<StoredObject> &objects)
{
    std::vector<Listed> live;
    for (const auto &object : objects) {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(instance, InstanceObject::fromJson(object.key, object.value));
                if (!instance.leaving)
                    live.push_back({instance.dataAddress, instance.peerAddress});
                return {};
            },
            [] {});
    }
    return live;
}

} // namespace bulrushgap

#include "role/InstanceRegistration.h"

#include <chrono>
#include <utility>

namespace bulrushgap {

namespace internal {

constexpr std::chrono::milliseconds registrationRetryDelay{500};

} // namespace internal

InstanceRegistration::InstanceRegistration(boost::asio::io_context &context, PlatformClient &client,
                                           InstanceObject object)
    : client(client)
    , object(std::move(object))
    , key("instance/" + this->object.name)
    , timer(context)
{}

void InstanceRegistration::start()
{
    this->read();
}

void InstanceRegistration::setLeaving()
{
    this->object.leaving = true;
    this->read();
}

void InstanceRegistration::read()
{
    this->client.get(this->key, [this](const GetOutcome &outcome) {
        if (outcome.result == PlatformResult::Ok)
            this->write(outcome.object.version.number);
        else if (outcome.result == PlatformResult::NotFound)
            this->write(0);
        else
            this->retryLater();
    });
}

void InstanceRegistration::write(std::uint64_t ifVersion)
{
    this->client.put(this->key, this->object.toJson(), ifVersion,
                     [this](const WriteOutcome &outcome) {
                         if (outcome.result == PlatformResult::Ok)
                             this->version = outcome.version;
                         else
                             this->retryLater();
                     });
}

void InstanceRegistration::retryLater()
{
    this->timer.expires_after(internal::registrationRetryDelay);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->read();
    });
}

void InstanceRegistration::remove(std::function<void()> done)
{
    this->timer.cancel();
    if (this->version == 0) {
        done();
        return;
    }
    this->client.remove(this->key, this->version,
                        [done = std::move(done)](const WriteOutcome & /*outcome*/) { done(); });
}

} // namespace bulrushgap

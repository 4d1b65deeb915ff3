#pragma once

#include "plan/InstanceObject.h"
#include "store/PlatformClient.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bulrushgap {

/** \brief Maintains the object instance/NAME of this process in the platform's store.
 *
 * From these objects the platform derives its list of live and leaving instances, with a delay.
 */
class InstanceRegistration
{
public:
    InstanceRegistration(boost::asio::io_context &context, PlatformClient &client,
                         InstanceObject object);

    /** \brief Writes the object and retries until it is stored. */
    void start();

    /** \brief Marks the stored object as leaving. */
    void setLeaving();

    /** \brief Tries once to delete the object; \a done is called whether it succeeds or not. */
    void remove(std::function<void()> done);

private:
    void read();
    void write(std::uint64_t ifVersion);
    void retryLater();

    PlatformClient &client;
    InstanceObject object;
    std::string key;
    boost::asio::steady_timer timer;
    std::uint64_t version = 0; //!< Version of the stored object; 0 if unknown.
};

} // namespace bulrushgap

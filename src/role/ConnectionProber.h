#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "health/UpstreamHealth.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace bulrushgap {

/** \brief Checks whether an upstream accepts TCP connections; sends no data over them. */
class ConnectionProber
{
public:
    using ResultHandler = std::function<void(balance::ProbeResult result)>;

    ConnectionProber(boost::asio::io_context &context, Duration timeout)
        : context(context)
        , timeout(timeout)
    {}

    /** \brief Connects to \a address; \a onResult is called once, never from within this function.
     */
    void probe(Endpoint address, ResultHandler onResult);

private:
    boost::asio::io_context &context;
    Duration timeout;
};

} // namespace bulrushgap

#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "health/UpstreamHealth.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace bulrushgap {

/** \brief Tells whether a machine accepts connections at an address; sends nothing over them. */
class ConnectionProber
{
public:
    using ResultHandler = std::function<void(balance::ProbeResult result)>;

    ConnectionProber(boost::asio::io_context &context, Duration timeout)
        : context(context)
        , timeout(timeout)
    {}

    /** \brief Connects to \a address; the handler is called once, later. */
    void probe(Endpoint address, ResultHandler onResult);

private:
    boost::asio::io_context &context;
    Duration timeout;
};

} // namespace bulrushgap

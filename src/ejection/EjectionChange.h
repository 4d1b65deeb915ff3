#pragma once

#include "base/Time.h"
#include "directory/Upstream.h"

#include <cstdint>
#include <string_view>

namespace bulrushgap::balance {

/** \brief What an ejection or its end is based on. */
enum class EjectionEvidence : std::uint8_t {
    Own,         //!< Outcomes that this instance observed.
    Shared,      //!< Outcomes of this instance and of others.
    Trial,       //!< Outcomes of requests after the delay of the ejection.
    ServiceWide, //!< The other upstreams of the service fail as well.
    Expired,     //!< No trial had an outcome for a long time.
    Reported,    //!< Reported by another instance.
    Count,
};

[[nodiscard]] std::string_view toString(EjectionEvidence evidence);

/** \brief Change of the ejection of an upstream, for the log. */
struct EjectionChange
{
    enum class Kind : std::uint8_t { Ejected, OnTrial, Reinstated };

    Kind kind = Kind::Ejected;
    UpstreamIndex upstream = noUpstream;
    EjectionEvidence evidence = EjectionEvidence::Own;
    std::uint32_t failures = 0; //!< Failed requests among those that the change is based on.
    std::uint32_t requests = 0;
    double serviceShare = 0.0; //!< Failed share of the requests to the service's other upstreams.
    Duration delay{};          //!< Until the first trial.
};

} // namespace bulrushgap::balance

#pragma once

#include "base/Endpoint.h"
#include "plan/Labels.h"
#include "plan/ObjectFault.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Upstream, configured by an operator under the key upstream/NAME. */
struct UpstreamObject
{
    std::string name;
    Endpoint address;
    std::string domain; //!< Name of its failure domain.
    Labels labels;
    std::uint16_t slots = 1;          //!< Maximum number of concurrent requests when warm.
    std::uint32_t connections = 2000; //!< Maximum number of open flows.
    boost::json::object unknown;      //!< Unrecognised members, kept for newer versions.

    [[nodiscard]] bool draining() const { return this->labels.has(stateLabel, stateDraining); }
    [[nodiscard]] bool out() const { return this->labels.has(stateLabel, stateOut); }

    /** \returns the object, or an error with ObjectFaults. */
    [[nodiscard]] static boost::leaf::result<UpstreamObject>
    fromJson(std::string_view name, const boost::json::value &value);
    [[nodiscard]] boost::json::value toJson() const;

    friend bool operator==(const UpstreamObject &, const UpstreamObject &) = default;
};

} // namespace bulrushgap

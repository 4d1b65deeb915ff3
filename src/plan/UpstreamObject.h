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

/** \brief An operator's object upstream/NAME. */
struct UpstreamObject
{
    std::string name;
    Endpoint address;
    std::string domain; //!< Name of its failure domain.
    Labels labels;
    std::uint16_t slots = 1;          //!< Requests that it may run at once when warm.
    std::uint32_t connections = 2000; //!< Open flows that it can hold.
    boost::json::object unknown;      //!< Members that a newer version wrote.

    [[nodiscard]] bool draining() const { return this->labels.has(stateLabel, stateDraining); }
    [[nodiscard]] bool out() const { return this->labels.has(stateLabel, stateOut); }

    /** \returns the object, or an error with ObjectFaults. */
    [[nodiscard]] static boost::leaf::result<UpstreamObject>
    fromJson(std::string_view name, const boost::json::value &value);
    [[nodiscard]] boost::json::value toJson() const;

    friend bool operator==(const UpstreamObject &, const UpstreamObject &) = default;
};

} // namespace bulrushgap

#pragma once

#include "base/Endpoint.h"
#include "plan/ObjectFault.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Instance, registered by itself under the key instance/NAME. */
struct InstanceObject
{
    std::string name;
    std::string domain; //!< Name of its failure domain.
    Endpoint peerAddress;
    Endpoint dataAddress;
    std::uint64_t bootId = 0;
    bool leaving = false;        //!< JSON member "state": "live" or "leaving".
    boost::json::object unknown; //!< Unrecognised members, kept for newer versions.

    /** \returns the object, or an error with ObjectFaults. */
    [[nodiscard]] static boost::leaf::result<InstanceObject>
    fromJson(std::string_view name, const boost::json::value &value);
    [[nodiscard]] boost::json::value toJson() const;

    friend bool operator==(const InstanceObject &, const InstanceObject &) = default;
};

} // namespace bulrushgap

#pragma once

#include "base/Endpoint.h"
#include "plan/ObjectFault.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief An object instance/NAME, written by the instance itself. */
struct InstanceObject
{
    std::string name;
    std::string domain; //!< Name of its failure domain.
    Endpoint peerAddress;
    Endpoint dataAddress;
    std::uint64_t bootId = 0;
    bool leaving = false;        //!< JSON member "state": "live" or "leaving".
    boost::json::object unknown; //!< Members that a newer version wrote.

    /** \returns the object, or an error with ObjectFaults. */
    [[nodiscard]] static boost::leaf::result<InstanceObject>
    fromJson(std::string_view name, const boost::json::value &value);
    [[nodiscard]] boost::json::value toJson() const;

    friend bool operator==(const InstanceObject &, const InstanceObject &) = default;
};

} // namespace bulrushgap

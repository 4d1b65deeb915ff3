#pragma once

#include "base/Endpoint.h"
#include "plan/ObjectFault.h"
#include "plan/Selector.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Service address and its upstreams, configured under the key service/NAME. */
struct ServiceObject
{
    std::string name;
    Endpoint address;
    Selector selector;
    boost::json::object unknown; //!< Unrecognised members, kept for newer versions.

    /** \returns the object, or an error with ObjectFaults. */
    [[nodiscard]] static boost::leaf::result<ServiceObject>
    fromJson(std::string_view name, const boost::json::value &value);
    [[nodiscard]] boost::json::value toJson() const;

    friend bool operator==(const ServiceObject &, const ServiceObject &) = default;
};

} // namespace bulrushgap

#pragma once

#include "plan/Labels.h"
#include "plan/ObjectFault.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Failure domain, configured by an operator under the key domain/NAME. */
struct DomainObject
{
    std::string name;
    Labels labels;
    boost::json::object unknown; //!< Unrecognised members, kept for newer versions.

    [[nodiscard]] bool draining() const { return this->labels.has(stateLabel, stateDraining); }
    [[nodiscard]] bool out() const { return this->labels.has(stateLabel, stateOut); }

    /** \returns the object, or an error with ObjectFaults. */
    [[nodiscard]] static boost::leaf::result<DomainObject>
    fromJson(std::string_view name, const boost::json::value &value);
    [[nodiscard]] boost::json::value toJson() const;

    friend bool operator==(const DomainObject &, const DomainObject &) = default;
};

} // namespace bulrushgap

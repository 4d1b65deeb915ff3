#pragma once

#include <string>
#include <vector>

namespace bulrushgap {

/** \brief Reason why a JSON value is not a valid object. */
struct ObjectFault
{
    std::string path;     //!< JSON path of the member, for example "$.labels.state".
    std::string expected; //!< Expected value.
    std::string found;    //!< Type and text of the actual value, or "nothing".

    friend bool operator==(const ObjectFault &, const ObjectFault &) = default;
};

/** \brief All faults of a JSON value; error object of the decoders. */
struct ObjectFaults
{
    std::vector<ObjectFault> faults;

    friend bool operator==(const ObjectFaults &, const ObjectFaults &) = default;
};

} // namespace bulrushgap

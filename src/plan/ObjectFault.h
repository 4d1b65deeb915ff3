#pragma once

#include <string>
#include <vector>

namespace bulrushgap {

/** \brief One reason why a JSON value is no valid object. */
struct ObjectFault
{
    std::string path;     //!< JSON path of the member, for example "$.labels.state".
    std::string expected; //!< What a valid object has there.
    std::string found;    //!< Type and text of what is there, or "nothing".

    friend bool operator==(const ObjectFault &, const ObjectFault &) = default;
};

/** \brief Every fault of one JSON value; error object of the decoders. */
struct ObjectFaults
{
    std::vector<ObjectFault> faults;

    friend bool operator==(const ObjectFaults &, const ObjectFaults &) = default;
};

} // namespace bulrushgap

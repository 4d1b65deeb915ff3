#pragma once

#include <boost/json/object.hpp>

#include <ostream>
#include <span>

namespace bulrushgap::internal {

/** \brief Prints the explanation of one instance as readable lines. */
void printExplanation(std::ostream &stream, const boost::json::object &explanation);

/** \returns the fields that differ between the answers, by path, each with the values of all;
 * without the name of the instance and the age of its view. */
[[nodiscard]] boost::json::object differences(std::span<const boost::json::object> answers);

/** \brief Prints the result of differences. */
void printDifferences(std::ostream &stream, const boost::json::object &fields);

} // namespace bulrushgap::internal

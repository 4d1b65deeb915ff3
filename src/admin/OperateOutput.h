#pragma once

#include "admin/AdminConnection.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::internal {

/** \brief Prints an answer as readable lines, or as JSON. \returns the exit code. */
int printAnswer(const AdminAnswer &answer, bool json);

/** \returns the exit code that an answer stands for. */
[[nodiscard]] int exitCodeOf(const AdminAnswer &answer);

/** \returns a member of type text, or an empty text. */
[[nodiscard]] std::string answerText(const boost::json::object &object, std::string_view name);

/** \returns a member that is a number, or 0. */
[[nodiscard]] std::uint64_t answerNumber(const boost::json::object &object, std::string_view name);

/** \returns the objects of a member that is a list. */
[[nodiscard]] std::vector<boost::json::object> answerList(const boost::json::object &object,
                                                          std::string_view name);

/** \returns one line about an instance of the status. */
[[nodiscard]] std::string instanceLine(const boost::json::object &instance);

} // namespace bulrushgap::internal

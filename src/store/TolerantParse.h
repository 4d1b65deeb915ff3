#pragma once

#include <boost/json/object.hpp>

#include <optional>
#include <string_view>

namespace bulrushgap {

/** \brief Member of an object of which parts were left out, as the JSON parser refuses them.
 *
 * Its value has one member: the name of the first part that was left out (empty for the object
 * itself), and the reason of the parser.
 */
constexpr std::string_view unreadableMember = "\x01unreadable";

/** \brief Parses an answer that lists objects, some of which the parser may refuse.
 *
 * A refused object does not affect the others: its readable parts remain, and unreadableMember is
 * added to it. \returns nothing if the text is truncated or is not a JSON object
 */
[[nodiscard]] std::optional<boost::json::object> parseTolerantly(std::string_view text);

} // namespace bulrushgap

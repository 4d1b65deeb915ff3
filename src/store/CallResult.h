#pragma once

#include "service/HttpClient.h"
#include "store/ObjectStore.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Whether a call that a server answers with status 503 may have been executed. */
enum class Status503 {
    NotExecuted,     //!< The call was rejected before it had any effect.
    MayHaveExecuted, //!< As for other server errors, the call may have taken effect.
};

/** \returns the result of a call; \a ambiguous if it is unknown whether the call took effect. */
[[nodiscard]] PlatformResult resultOf(const HttpOutcome &outcome, PlatformResult ambiguous,
                                      Status503 meaning);

/** \returns the JSON object of the body; sets an Ok \a result to \a ambiguous if there is none. */
[[nodiscard]] boost::json::object bodyOf(const HttpOutcome &outcome, PlatformResult ambiguous,
                                         PlatformResult &result);

/** \returns the JSON object of the answer to a list or watch, in which unreadable objects are
 * marked with unreadableMember; sets an Ok \a result to Unavailable if there is none. */
[[nodiscard]] boost::json::object objectsBodyOf(const HttpOutcome &outcome, PlatformResult &result);

/** \returns the value of a non-negative integer member, otherwise 0. */
[[nodiscard]] std::uint64_t memberNumber(const boost::json::object &object, std::string_view name);

/** \returns the value of a string member, otherwise an empty string. */
[[nodiscard]] std::string memberText(const boost::json::object &object, std::string_view name);

/** \returns whether the member exists and is true. */
[[nodiscard]] bool memberFlag(const boost::json::object &object, std::string_view name);

/** \returns the member if it is an object, or nullptr. */
[[nodiscard]] const boost::json::object *memberObject(const boost::json::object &object,
                                                      std::string_view name);

/** \returns the member if it is an array, or nullptr. */
[[nodiscard]] const boost::json::array *memberList(const boost::json::object &object,
                                                   std::string_view name);

} // namespace bulrushgap

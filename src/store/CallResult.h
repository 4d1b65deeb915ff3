#pragma once

#include "service/HttpClient.h"
#include "store/ObjectStore.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief What a server's status 503 says of a call. */
enum class Status503 {
    NotExecuted,     //!< The call was turned away before anything was done.
    MayHaveExecuted, //!< As any other server error: the call may have run.
};

/** \returns the meaning of an answer; \a ambiguous is the result if it may or may not have run. */
[[nodiscard]] PlatformResult resultOf(const HttpOutcome &outcome, PlatformResult ambiguous,
                                      Status503 meaning);

/** \returns the object of the body; sets \a result to \a ambiguous if an answer of 200 has none. */
[[nodiscard]] boost::json::object bodyOf(const HttpOutcome &outcome, PlatformResult ambiguous,
                                         PlatformResult &result);

/** \returns a whole number from 0 up, or 0 if the member has none. */
[[nodiscard]] std::uint64_t memberNumber(const boost::json::object &object, std::string_view name);

/** \returns a text, empty if the member has none. */
[[nodiscard]] std::string memberText(const boost::json::object &object, std::string_view name);

/** \returns whether the member is true. */
[[nodiscard]] bool memberFlag(const boost::json::object &object, std::string_view name);

/** \returns the member if it is an object, or nullptr. */
[[nodiscard]] const boost::json::object *memberObject(const boost::json::object &object,
                                                      std::string_view name);

/** \returns the member if it is a list, or nullptr. */
[[nodiscard]] const boost::json::array *memberList(const boost::json::object &object,
                                                   std::string_view name);

} // namespace bulrushgap

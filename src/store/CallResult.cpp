#include "store/CallResult.h"

#include "store/TolerantParse.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <utility>

namespace bulrushgap {

namespace internal {

bool hasBody(PlatformResult result)
{
    return result == PlatformResult::Ok || result == PlatformResult::Conflict;
}

} // namespace internal

PlatformResult resultOf(const HttpOutcome &outcome, PlatformResult ambiguous, Status503 meaning)
{
    constexpr unsigned firstServerError = 500;
    if (outcome.failure == HttpFailure::NotSent)
        return PlatformResult::Unavailable;
    if (outcome.failure == HttpFailure::NoResponse)
        return ambiguous;
    switch (outcome.status) {
    case 200:
    case 201:
        return PlatformResult::Ok;
    case 404:
        return PlatformResult::NotFound;
    case 409:
        return PlatformResult::Conflict;
    case 410:
        return PlatformResult::Gone;
    case 413:
        return PlatformResult::TooLarge;
    case 429:
        return PlatformResult::TooMany;
    case 503:
        return meaning == Status503::NotExecuted ? PlatformResult::Busy : ambiguous;
    default:
        return outcome.status >= firstServerError ? ambiguous : PlatformResult::Unavailable;
    }
}

boost::json::object bodyOf(const HttpOutcome &outcome, PlatformResult ambiguous,
                           PlatformResult &result)
{
    if (!internal::hasBody(result))
        return {};
    boost::system::error_code error;
    boost::json::value body = boost::json::parse(outcome.body, error);
    if (!error && body.is_object())
        return std::move(*body.if_object());
    if (result == PlatformResult::Ok)
        result = ambiguous;
    return {};
}

boost::json::object objectsBodyOf(const HttpOutcome &outcome, PlatformResult &result)
{
    if (!internal::hasBody(result))
        return {};
    auto body = parseTolerantly(outcome.body);
    if (body)
        return *std::move(body);
    if (result == PlatformResult::Ok)
        result = PlatformResult::Unavailable;
    return {};
}

std::uint64_t memberNumber(const boost::json::object &object, std::string_view name)
{
    const auto *member = object.if_contains(name);
    if (member == nullptr || !member->is_int64() || *member->if_int64() < 0)
        return 0;
    return static_cast<std::uint64_t>(*member->if_int64());
}

std::string memberText(const boost::json::object &object, std::string_view name)
{
    const auto *member = object.if_contains(name);
    if (member == nullptr || !member->is_string())
        return {};
    return std::string(std::string_view(*member->if_string()));
}

bool memberFlag(const boost::json::object &object, std::string_view name)
{
    const auto *member = object.if_contains(name);
    return member != nullptr && member->is_bool() && *member->if_bool();
}

const boost::json::object *memberObject(const boost::json::object &object, std::string_view name)
{
    const auto *member = object.if_contains(name);
    return member == nullptr ? nullptr : member->if_object();
}

const boost::json::array *memberList(const boost::json::object &object, std::string_view name)
{
    const auto *member = object.if_contains(name);
    return member == nullptr ? nullptr : member->if_array();
}

} // namespace bulrushgap

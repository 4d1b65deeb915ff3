#include "base/Reasons.h"

#include <array>
#include <cassert>
#include <cstddef>

namespace bulrushgap {

namespace internal {

constexpr std::array<std::string_view, static_cast<std::size_t>(RefusalReason::Count)> refusalNames{
    "malformed_packet", "unknown_service",    "service_mismatch", "no_configuration",
    "not_ready",        "no_upstream",        "domain_out",       "domain_unreachable",
    "upstream_gone",    "queue_full",         "deadline",         "overloaded",
    "retry_budget",     "upstream_failed",    "ticket_missing",   "ticket_invalid",
    "ticket_expired",   "ticket_issuer_gone", "stale_relay",      "duplicate_relay",
    "hop_limit",        "silent_flow",        "cancelled",        "stopping",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(RetryReason::Count)> retryNames{
    "shed",
    "upstream_error",
    "attempt_timeout",
    "upstream_ejected",
};

} // namespace internal

std::string_view toString(RefusalReason reason)
{
    assert(reason < RefusalReason::Count);
    return internal::refusalNames.at(static_cast<std::size_t>(reason));
}

std::string_view toString(RetryReason reason)
{
    assert(reason < RetryReason::Count);
    return internal::retryNames.at(static_cast<std::size_t>(reason));
}

} // namespace bulrushgap

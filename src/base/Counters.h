#pragma once

#include "base/Reasons.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Event counters of one process: refusals, retries and named events.
 *
 * Not thread-safe; owned and used by one thread.
 */
class Counters
{
public:
    using Visitor
        = std::function<void(std::string_view family, std::string_view label, std::uint64_t value)>;

    void refuse(RefusalReason reason) { ++this->refusals.at(static_cast<std::size_t>(reason)); }
    void retry(RetryReason reason) { ++this->retries.at(static_cast<std::size_t>(reason)); }

    /** \brief Adds \a amount to the event counter \a name, for example "transition_forced". */
    void add(std::string_view name, std::uint64_t amount = 1);

    [[nodiscard]] std::uint64_t refused(RefusalReason reason) const
    {
        return this->refusals.at(static_cast<std::size_t>(reason));
    }
    [[nodiscard]] std::uint64_t retried(RetryReason reason) const
    {
        return this->retries.at(static_cast<std::size_t>(reason));
    }
    [[nodiscard]] std::uint64_t value(std::string_view name) const;

    /** \brief Calls \a visit for each counter: family "refusal", "retry" or "event". */
    void visit(const Visitor &visit) const;

private:
    std::array<std::uint64_t, static_cast<std::size_t>(RefusalReason::Count)> refusals{};
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::Count)> retries{};
    std::map<std::string, std::uint64_t, std::less<>> events;
};

} // namespace bulrushgap

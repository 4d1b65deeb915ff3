#pragma once

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace bulrushgap::balance {

/** \brief Numbers of requests and of the failed ones among them. */
struct OutcomeCounts
{
    std::uint32_t failures = 0;
    std::uint32_t requests = 0;

    OutcomeCounts &operator+=(const OutcomeCounts &other)
    {
        this->failures += other.failures;
        this->requests += other.requests;
        return *this;
    }
    friend bool operator==(const OutcomeCounts &, const OutcomeCounts &) = default;
};

/** \brief Counts of the requests of the last 3 s, in steps of half a second. */
class OutcomeWindow
{
public:
    static constexpr Duration length = std::chrono::seconds(3);

    void add(const OutcomeCounts &counts, TimePoint now);

    /** \returns the counts of the window that ends at \a now. */
    [[nodiscard]] OutcomeCounts total(TimePoint now) const;
    void clear() { this->steps = {}; }

private:
    static constexpr std::size_t stepCount = 6;

    struct Step
    {
        std::int64_t number = 0; //!< Time since the epoch of the clock, in steps.
        OutcomeCounts counts;
    };

    [[nodiscard]] static std::int64_t numberOf(TimePoint time)
    {
        return time.time_since_epoch() / (length / stepCount);
    }

    std::array<Step, stepCount> steps{};
};

} // namespace bulrushgap::balance

#pragma once

#include "base/Time.h"

#include <optional>

namespace bulrushgap {

/** \brief Exponentially weighted moving average and mean deviation of service times. */
class LatencyEstimate
{
public:
    void add(Duration latency)
    {
        if (!this->average) {
            this->average = latency;
            return;
        }
        const Duration error = latency - *this->average;
        *this->average += error / smoothingDivisor;
        this->deviation += (std::chrono::abs(error) - this->deviation) / smoothingDivisor;
    }

    /** \returns the average, or \a fallback without a sample. */
    [[nodiscard]] Duration value(Duration fallback) const
    {
        return this->average.value_or(fallback);
    }
    /** \returns an upper estimate that most requests stay below, or 0 without a sample. */
    [[nodiscard]] Duration upperBound() const
    {
        return this->value(Duration(0)) + upperBoundDeviations * this->deviation;
    }
    [[nodiscard]] bool known() const { return this->average.has_value(); }

private:
    /** \brief A new sample has a weight of 1 / smoothingDivisor. */
    static constexpr int smoothingDivisor = 16;

    static constexpr int upperBoundDeviations = 2;

    std::optional<Duration> average;
    Duration deviation{0};
};

} // namespace bulrushgap

#pragma once

#include "base/Time.h"

#include <optional>

namespace bulrushgap {

/** \brief Exponentially weighted moving average of service times. */
class LatencyEstimate
{
public:
    void add(Duration latency)
    {
        if (!this->average)
            this->average = latency;
        else
            *this->average += (latency - *this->average) / sampleShare;
    }

    /** \returns the average, or \a fallback without a sample. */
    [[nodiscard]] Duration value(Duration fallback) const
    {
        return this->average.value_or(fallback);
    }
    [[nodiscard]] bool known() const { return this->average.has_value(); }

private:
    /** \brief A new sample counts for one part in so many. */
    static constexpr int sampleShare = 16;

    std::optional<Duration> average;
};

} // namespace bulrushgap

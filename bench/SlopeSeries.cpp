#include "SlopeSeries.h"

#include <array>
#include <chrono>
#include <cstdlib>

namespace bulrushgap::bench {

constexpr std::chrono::seconds pointLimit{30};

void SlopeSeries::run()
{
    std::array<double, 1> loads{};
    if (getloadavg(loads.data(), 1) == 1)
        this->load = loads.front();
    for (const double size : this->sizes) {
        const auto start = std::chrono::steady_clock::now();
        SlopePoint point{size, this->measure(size)};
        if (std::chrono::steady_clock::now() - start > pointLimit)
            return;
        this->points.push_back(std::move(point));
    }
}

Slope SlopeSeries::slope(std::size_t figure) const
{
    double count = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const SlopePoint &point : this->points) {
        if (!point.figures.at(figure))
            continue;
        const double value = *point.figures.at(figure);
        ++count;
        sumX += point.size;
        sumY += value;
        sumXx += point.size * point.size;
        sumXy += point.size * value;
    }
    const double divisor = count * sumXx - sumX * sumX;
    if (count < 2 || divisor == 0)
        return {};
    const double perUnit = (count * sumXy - sumX * sumY) / divisor;
    return {perUnit, (sumY - perUnit * sumX) / count};
}

} // namespace bulrushgap::bench

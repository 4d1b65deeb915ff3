#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::bench {

/** \brief Raw figures of one size; a figure without a value could not be measured. */
struct SlopePoint
{
    double size = 0;
    std::vector<std::optional<double>> figures;
};

/** \brief Line through the points of one figure by least squares. */
struct Slope
{
    double perUnit = 0;
    double atZero = 0;
};

/** \brief What one subject costs against its size. */
struct SlopeSeries
{
    std::string_view name;
    std::string_view sizeName;
    std::vector<std::string_view> figureNames; //!< With units.
    std::vector<double> sizes;                 //!< Ascending.
    std::function<std::vector<std::optional<double>>(double size)> measure;
    std::vector<SlopePoint> points{};
    double load = 0; //!< Load average of the machine over one minute when the series began.

    /** \brief Measures all sizes; drops a point that takes over 30 s and larger ones. */
    void run();

    /** \returns the slope of a figure; without two measured points it is 0. */
    [[nodiscard]] Slope slope(std::size_t figure) const;
};

} // namespace bulrushgap::bench

#pragma once

#include "service/SettingsReader.h"
#include "simulation/FaultSettings.h"
#include "simulation/RunSettings.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::simulation {

/** \brief A deployment, its load and its faults, as a file describes them. */
struct Experiment
{
    RunSettings run;
    std::vector<PlannedFault> faults;
    std::size_t randomFaults = 0; //!< So many more at random, different for each seed.

    [[nodiscard]] static SettingsReader reader();

    /** \returns the experiment that \a text describes, or the error SettingsFaults. */
    [[nodiscard]] static boost::leaf::result<Experiment> parse(std::string_view text);

    /** \returns the experiment of the file, or the error SettingsFaults. */
    [[nodiscard]] static boost::leaf::result<Experiment> load(const std::string &path);

    /** \returns the faults of the run with a seed. */
    [[nodiscard]] std::vector<PlannedFault> faultsFor(std::uint64_t seed) const;
};

} // namespace bulrushgap::simulation

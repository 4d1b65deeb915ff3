#pragma once

#include <set>
#include <string>

namespace bulrushgap::simulation {

/** \brief How the store treats calls. */
enum class StoreMode {
    Serving,
    Silent,  //!< Takes calls and never answers.
    Reset,   //!< Resets connections.
    Busy,    //!< Answers that it can't serve now.
    TooMany, //!< Answers that the rate is exceeded.
};

struct StoreFaults
{
    StoreMode mode = StoreMode::Serving;
    std::set<std::string, std::less<>> only; //!< Instances that \c mode is for; empty for all.
    double slowness = 1.0;                   //!< Factor on the time of an answer.
    double lostWrites = 0.0;                 //!< Share of writes that are done and not answered.

    [[nodiscard]] StoreMode modeFor(const std::string &instance) const
    {
        const bool concerned = this->only.empty() || this->only.contains(instance);
        return concerned ? this->mode : StoreMode::Serving;
    }
};

} // namespace bulrushgap::simulation

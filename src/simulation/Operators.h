#pragma once

#include "simulation/PromiseChecks.h"
#include "simulation/RunSettings.h"
#include "simulation/Surroundings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bulrushgap::simulation {

/** \brief The operators of a run: they write configurations and evacuations, and try again while
 * the store does not serve them. */
class Operators
{
public:
    Operators(Surroundings &surroundings, const RunSettings &settings, PromiseChecks &checks);

    /** \brief Writes the first configuration. */
    void start() { this->publish(); }

    /** \brief Drops the route of the last request class, or gives it back. */
    void setLastRouteDropped(bool dropped);

    /** \brief Sends the route of the last request class to another service, or back. */
    void setLastRouteMoved(bool moved);

    /** \brief Writes a version that changes nothing but its number. */
    void publish();

    /** \brief Orders an evacuation, or takes it back. */
    void evacuate(const std::string &domain, bool evacuated);

    /** \brief Writes the latest configuration and all evacuations again, a moment from now. */
    void writeAgain();

private:
    void writeEvacuation(const std::string &domain, bool evacuated);
    void whenServed(std::function<void()> write);
    void writeWaiting();
    [[nodiscard]] balance::Configuration configuration() const;
    [[nodiscard]] std::string otherService(const std::string &service) const;

    Surroundings &surroundings;
    const RunSettings &settings;
    PromiseChecks &checks;
    std::vector<std::function<void()>> waiting; //!< Writes that the store has not served, in order.
    std::map<std::string, bool> evacuations;    //!< Whether each domain named so far is evacuated.
    Scheduler::Timer retryTimer;
    Scheduler::Timer writeAgainTimer;
    std::uint64_t version = 0;
    bool lastRouteDropped = false;
    bool lastRouteMoved = false;
};

} // namespace bulrushgap::simulation

#pragma once

#include "simulation/SimulatedInstance.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bulrushgap::simulation {

/** \brief Instances, their links and the store in virtual time, without callers. */
class LargeDeployment
{
public:
    /** \param strong instances of each domain whose links are faster. */
    LargeDeployment(unsigned domains, unsigned instancesPerDomain, unsigned strong = 3);
    LargeDeployment(const LargeDeployment &) = delete;
    LargeDeployment &operator=(const LargeDeployment &) = delete;

    /** \brief Starts all instances for the first time and waits until they are ready. */
    void settle();

    void run(Duration duration) { this->surroundings.loop.runFor(duration); }

    /** \brief Runs until all running instances are ready. \returns the time it took, at most 20 s.
     */
    Duration runUntilReady();

    /** \brief Runs until all running instances have a configuration version.
     *  \returns the time it took, at most 20 s. */
    Duration runUntilVersion(std::uint64_t version);

    /** \brief Writes a configuration. */
    void configure(std::uint64_t version);

    void addUpstream(unsigned number);
    void removeUpstream(unsigned number);

    /** \returns the instances whose view lacks an upstream, without those that do not run. */
    [[nodiscard]] std::size_t lacking(unsigned upstream);

    /** \returns the running instances that do not have a configuration version. */
    [[nodiscard]] std::size_t behind(std::uint64_t version);

    void killAndRestart(const std::vector<std::size_t> &indexes, Duration pause);

    /** \returns the calls of one kind to the store, of all processes since \c resetCounts. */
    [[nodiscard]] std::uint64_t calls(const std::string &counter) const;
    [[nodiscard]] std::uint64_t storeCalls() const;
    void resetCounts();

    /** \returns the calls to the store at the first start. */
    [[nodiscard]] std::uint64_t callsOfSettling() const { return this->callsBefore; }

    /** \returns the indexes of every \a step-th instance; without the seeds unless of all. */
    [[nodiscard]] std::vector<std::size_t> every(std::size_t step) const;

    [[nodiscard]] SimulatedInstance &at(std::size_t index) { return *this->instances[index]; }
    [[nodiscard]] std::size_t size() const { return this->instances.size(); }

    /** \returns the number of upstreams before any is removed. */
    [[nodiscard]] static std::size_t upstreamCount();

    Surroundings surroundings;

private:
    [[nodiscard]] SimulatedInstanceHooks hooks();
    [[nodiscard]] ViewList listOf(SimulatedInstance &instance, ViewKind kind) const;
    template <typename Done>
    Duration runUntil(Done done);

    std::vector<std::unique_ptr<SimulatedInstance>> instances;
    std::set<std::size_t> seeds;
    std::uint64_t callsOfEnded = 0;
    std::uint64_t callsBefore = 0;
};

} // namespace bulrushgap::simulation

#pragma once

#include "simulation/CallerFlow.h"
#include "simulation/RunReport.h"
#include "simulation/RunSettings.h"
#include "simulation/Surroundings.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushgap::simulation {

struct CallerPopulationHooks
{
    /** Sends a packet into the fabric of the callers' domain. */
    std::function<void(WirePacket packet)> send;

    /** \brief A reset came that the load balancer wrote. \param flow at its caller */
    std::function<void(const CallerFlow &flow, bool opened)> onForeignReset;

    std::function<void(const RequestClass &requestClass, RequestResult result, Duration sentAt,
                       Duration time)>
        onResult;
    std::function<void(Promise promise, const std::string &what)> onBroken;
};

/** \brief The callers of one failure domain: requests at random times, retries, time limits. */
class CallerPopulation
{
public:
    /** \param number of the domain, for the callers' addresses. */
    CallerPopulation(Surroundings &surroundings, const RunSettings &settings, unsigned number,
                     CallerPopulationHooks hooks);

    /** \brief Requests come from now on, until stop(). */
    void start();
    void stop() { this->stopped = true; }

    /** \brief Requests come more often by this factor. */
    void setPressure(double factor) { this->pressure = factor; }

    void onPacket(const WirePacket &packet);

    /** \returns whether \a address is one of these callers. */
    [[nodiscard]] bool owns(Endpoint address) const
    {
        return (address.address & addressMask) == this->network;
    }

private:
    static constexpr std::uint32_t addressMask = 0xffff'ff00;

    struct Request
    {
        const RequestClass *requestClass = nullptr;
        std::string name; //!< Of all its tries.
        std::string tryId;
        TimePoint startedAt;
        unsigned tries = 0;
        CallerFlow *flow = nullptr;
        Scheduler::Timer deadline;
    };
    using RequestPtr = std::shared_ptr<Request>;

    void scheduleNext(const RequestClass &requestClass);
    void begin(const RequestClass &requestClass);
    void tryOnce(const RequestPtr &request);
    CallerFlow *idleFlow(const RequestClass &requestClass);
    CallerFlow *newFlow(const RequestClass &requestClass);
    void onAnswer(CallerFlow *flow, const HttpAnswer &answer);
    void onFailed(CallerFlow *flow, bool opened);
    void retryOrEnd(const RequestPtr &request, bool mayRepeat);
    void finish(const RequestPtr &request, RequestResult result);
    void discard(CallerFlow *flow);
    [[nodiscard]] Endpoint nextLocal();

    Surroundings &surroundings;
    const RunSettings &settings;
    std::uint32_t network;
    CallerPopulationHooks hooks;
    TimePoint startedAt{};
    std::map<Endpoint, std::unique_ptr<CallerFlow>> flows;
    std::map<CallerFlow *, RequestPtr> busy;
    std::map<std::string, std::vector<CallerFlow *>> idle; //!< By request class.
    std::vector<Scheduler::Timer> arrivals;
    std::list<Scheduler::Timer> cleanups;
    std::uint64_t nextRequest = 0;
    std::uint32_t nextCaller = 0;
    std::uint16_t nextPort = 1'024;
    double pressure = 1.0;
    bool stopped = false;
};

} // namespace bulrushgap::simulation

#pragma once

#include "admission/AdmissionRequest.h"
#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace bulrushgap {

class AdmissionPolicy;

constexpr std::size_t benchUpstreams = 14;
constexpr std::size_t benchInstances = 8;
constexpr std::size_t benchDomains = 3;
constexpr std::uint16_t benchSlots = 2;
/** \brief Between instances, and between an instance and an upstream. */
constexpr Duration benchHop{500};
constexpr Duration benchServiceTime{50'000};
constexpr Duration benchDeadline{1'000'000};

struct AdmissionScenario
{
    double load = 0.5;   //!< Offered load as a share of the capacity of all warm upstreams.
    bool outage = false; //!< The upstreams of one failure domain hang for a third of the time.
};

struct BenchRequest
{
    std::uint64_t handle = 0;
    TimePoint arrival;
    TimePoint deadline;
    bool idempotent = false;
    bool ended = false;
};

struct AdmissionFigures
{
    std::uint64_t offered = 0;
    std::uint64_t answered = 0; //!< Before the deadline.
    std::uint64_t refused = 0;
    std::uint64_t sheds = 0;
    std::uint64_t peak = 0; //!< Most requests that arrived or ran at one upstream at once.
    std::uint64_t outageOffered = 0;
    std::uint64_t outageDispatches = 0; //!< To upstreams that work, during the outage.
    std::uint64_t outageAnswered = 0;
    std::uint64_t returnOffered = 0; //!< After the outage.
    std::uint64_t returnAnswered = 0;
    std::vector<Duration> latencies;
};

/** \brief Callers and upstreams in virtual time. */
class AdmissionWorld
{
public:
    AdmissionWorld(const AdmissionScenario &scenario, std::uint64_t seed);

    /** \returns the figures of a run, without the time in which policies warm up. */
    AdmissionFigures run(AdmissionPolicy &policy);

    // For policies.
    [[nodiscard]] TimePoint now() const { return this->time; }
    [[nodiscard]] Random &generator() { return this->random; }
    [[nodiscard]] const BenchRequest &request(std::uint64_t handle) const
    {
        return this->requests.at(handle);
    }
    void send(std::size_t instance, std::uint64_t handle, const DispatchId &id,
              std::size_t upstream);
    void relay(std::size_t instance, std::uint64_t handle, std::uint8_t hops);
    void answered(std::uint64_t handle);
    void refused(std::uint64_t handle);

private:
    struct Upstream
    {
        std::uint16_t running = 0;
        int successesToWarm = 0;
        bool hangs = false;
        bool wasOut = false;
    };

    struct Sent
    {
        std::size_t instance = 0;
        std::uint64_t handle = 0;
        DispatchId id;
        std::size_t upstream = 0;
    };

    void at(Duration delay, std::function<void()> action);
    void every(Duration period, const std::function<void()> &action);
    void arrive();
    void receive(const Sent &sent);
    void finish(const Sent &sent);
    void reply(const Sent &sent, AnswerOutcome outcome);
    void setOutage(bool out);
    [[nodiscard]] bool measured(TimePoint arrival) const;
    [[nodiscard]] bool inOutage(TimePoint arrival) const;
    [[nodiscard]] bool afterOutage(TimePoint arrival) const;

    AdmissionScenario scenario;
    Random random;
    TimePoint time;
    std::multimap<TimePoint, std::function<void()>> agenda;
    std::vector<BenchRequest> requests;
    std::vector<Upstream> upstreams;
    AdmissionPolicy *policy = nullptr;
    AdmissionFigures figures;
};

} // namespace bulrushgap

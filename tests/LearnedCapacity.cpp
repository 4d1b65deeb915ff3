#include "capacity.h"
#include "placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

constexpr Duration work = milliseconds(30);
constexpr Duration objective = milliseconds(400);
constexpr Duration step = milliseconds(2);
constexpr unsigned slots = 2;
const Endpoint route = *Endpoint::parse("198.18.0.1:8443");

/** \brief An upstream that works on as many requests as it has slots; the others wait. */
struct Worker
{
    double speed = 1.0;
    std::vector<TimePoint> freeAt = std::vector<TimePoint>(slots);

    /** \returns when a request that arrives now is answered. */
    TimePoint serve(TimePoint now)
    {
        const auto slot = std::ranges::min_element(this->freeAt);
        const std::chrono::duration<double> time = work / this->speed;
        *slot = std::max(now, *slot) + std::chrono::duration_cast<Duration>(time);
        return *slot;
    }
};

/** \brief Instances of one domain that place requests on shared upstreams, in virtual time. */
class Service
{
public:
    Service(std::vector<double> speeds, unsigned instances)
    {
        for (unsigned i = 0; i < instances; ++i)
            this->instances.push_back(std::make_unique<Instance>(i, instances, speeds.size()));
        for (const double speed : speeds)
            this->workers.push_back({speed, std::vector<TimePoint>(slots)});
        this->placed.resize(speeds.size());
    }

    /** \brief Sends \a perSecond requests a second, spread over the instances. */
    void run(Duration time, double perSecond)
    {
        const double perStep = perSecond * std::chrono::duration<double>(step).count();
        for (Duration elapsed{}; elapsed < time; elapsed += step) {
            this->now += step;
            this->endRequests();
            for (this->due += perStep; this->due >= 1.0; this->due -= 1.0)
                this->send();
        }
    }

    void resetCounts()
    {
        std::ranges::fill(this->placed, 0U);
        this->late = 0;
        this->sent = 0;
    }

    [[nodiscard]] double shareOf(std::size_t upstream) const
    {
        return static_cast<double>(this->placed[upstream]) / this->sent;
    }
    [[nodiscard]] double lateShare() const
    {
        return static_cast<double>(this->late) / std::max(1U, this->sent);
    }
    [[nodiscard]] double factor(std::size_t upstream) const
    {
        return this->instances.front()
            ->directory.at(static_cast<UpstreamIndex>(upstream))
            .capacity.factor(this->now);
    }

    std::vector<Worker> workers;

private:
    struct Instance
    {
        Instance(unsigned number, unsigned instances, std::size_t upstreams)
            : random(number + 1)
            , placement(this->directory, this->reachability, "a", this->random)
            , learner(this->directory, {})
        {
            std::vector<RegistryEntry> entries;
            for (std::size_t i = 0; i < upstreams; ++i) {
                UpstreamEntry entry;
                entry.name = "u-" + std::to_string(i);
                entry.service = "s1";
                entry.domain = "a";
                entry.slots = slots;
                entry.address = Endpoint{static_cast<std::uint32_t>(i + 1), 80};
                entries.push_back({entry, 1});
            }
            this->directory.replaceAll(entries, TimePoint{});
            this->placement.setInstancesPerDomain(instances);
            this->placement.useLearnedCapacity();
        }

        UpstreamDirectory directory{{}};
        DomainReachability reachability{{}};
        Random random;
        Placement placement;
        CapacityLearner learner;
    };

    struct Request
    {
        TimePoint sentAt;
        TimePoint answeredAt;
        Instance *instance = nullptr;
        UpstreamIndex upstream = noUpstream;
    };

    void send()
    {
        Instance &instance = *this->instances[this->sent % this->instances.size()];
        const UpstreamIndex upstream = instance.placement.choose("s1", {}, this->now).upstream;
        ++instance.directory.at(upstream).outstanding;
        const TimePoint answered = this->workers[upstream].serve(this->now);
        this->pending.push_back({this->now, answered, &instance, upstream});
        ++this->placed[upstream];
        ++this->sent;
    }

    void endRequests()
    {
        std::erase_if(this->pending, [this](const Request &request) {
            const bool isLate = this->now - request.sentAt > objective;
            if (request.answeredAt > this->now && !isLate)
                return false;
            --request.instance->directory.at(request.upstream).outstanding;
            this->late += isLate ? 1 : 0;
            request.instance->learner.onOutcome(
                {request.upstream, route, isLate ? RequestOutcome::Late : RequestOutcome::Answered,
                 this->now - request.sentAt},
                this->now);
            return true;
        });
    }

    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<Request> pending;
    std::vector<unsigned> placed;
    TimePoint now{std::chrono::hours(1)};
    double due = 0.0;
    unsigned sent = 0;
    unsigned late = 0;
};

/** \returns the speeds of a service in which every fifth upstream has \a speed. */
std::vector<double> withSlow(double speed)
{
    std::vector<double> speeds(20, 1.0);
    for (std::size_t i = 0; i < speeds.size(); i += 5)
        speeds[i] = speed;
    return speeds;
}

} // namespace

// Guards against upstreams that get the share of their slots although they are slower, so that
// their callers' requests queue and miss their objective.
TEST_CASE("requests miss their objective only while a slow upstream is tried", "[LearnedCapacity]")
{
    struct Row
    {
        const char *name;
        double speed;
        double perSecond; //!< 20 upstreams of full speed serve 1,333 a second.
    };
    const auto row = GENERATE(values<Row>({{"half the speed, low load", 0.5, 300},
                                           {"half the speed, high load", 0.5, 900},
                                           {"a fifth of the speed", 0.2, 600},
                                           {"a twentieth, low load", 0.05, 300},
                                           {"a twentieth, high load", 0.05, 800}}));
    INFO(row.name);
    Service service(withSlow(row.speed), 4);
    service.run(std::chrono::seconds(10), row.perSecond);
    service.resetCounts();
    service.run(std::chrono::seconds(20), row.perSecond);
    INFO("late " << service.lateShare() << ", share of a slow upstream " << service.shareOf(0));
    // Each of the 4 instances may try each of the 4 slow upstreams twice in the half-life of 5 s.
    CHECK(service.lateShare() < 4 * 4 * 2 / (5 * row.perSecond));
}

// Guards against an estimate that sticks: an upstream that slowed down keeps its share, or one that
// has recovered stays unused.
TEST_CASE("the share of an upstream follows a change of its speed", "[LearnedCapacity]")
{
    constexpr double perSecond = 600;
    constexpr double fairShare = 1.0 / 20;
    Service service(withSlow(1.0), 4);
    service.run(std::chrono::seconds(5), perSecond);
    service.resetCounts();
    service.run(std::chrono::seconds(5), perSecond);
    CHECK(service.shareOf(0) > 0.8 * fairShare);
    service.workers[0].speed = 0.2;
    service.run(std::chrono::seconds(3), perSecond);
    service.resetCounts();
    service.run(std::chrono::seconds(5), perSecond);
    CHECK(service.shareOf(0) < 0.2 * 1.2 * fairShare);
    service.workers[0].speed = 1.0;
    service.run(std::chrono::seconds(20), perSecond);
    service.resetCounts();
    service.run(std::chrono::seconds(5), perSecond);
    CHECK(service.shareOf(0) > 0.8 * fairShare);
}

// Guards against callers' requests that queue at slow upstreams when the load grows.
TEST_CASE("a step of load leaves requests within their objective", "[LearnedCapacity]")
{
    Service service(withSlow(0.2), 4);
    service.run(std::chrono::seconds(10), 350);
    service.resetCounts();
    service.run(std::chrono::seconds(10), 350 * 2.5);
    INFO("late " << service.lateShare());
    CHECK(service.lateShare() < 0.02);
}

// Guards against a slow instance or network, or single long requests, that count as slow upstreams.
TEST_CASE("only what differs between upstreams changes the estimate", "[LearnedCapacity]")
{
    struct Row
    {
        const char *name;
        std::function<Duration(int request)> time;
        double least;
    };
    const auto row = GENERATE(values<Row>({
        {"all answers take three times as long from the 200th on",
         [](int i) { return i < 200 ? work : 3 * work; }, 0.7},
        {"one in thirty takes seven times as long",
         [](int i) { return i % 30 == 7 ? 7 * work : work; }, 0.55},
        {"few samples: no usual time yet", [](int i) { return i == 3 ? 20 * work : work; }, 0.55},
    }));
    INFO(row.name);
    UpstreamDirectory directory{{}};
    std::vector<RegistryEntry> entries;
    for (int i = 0; i < 7; ++i) {
        UpstreamEntry entry;
        entry.name = "u-" + std::to_string(i);
        entries.push_back({entry, 1});
    }
    directory.replaceAll(entries, TimePoint{});
    CapacityLearner learner(directory, {});
    TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 600; ++i) {
        now += milliseconds(40);
        learner.onOutcome(
            {static_cast<UpstreamIndex>(i % 7), route, RequestOutcome::Answered, row.time(i)}, now);
        // The usual time follows a change of all answers within 100 of them.
        if (i < 200 || i > 300)
            CHECK(spreadOf(directory, now).least > row.least);
    }
}

// Guards against estimates of a former process that limit the next one.
TEST_CASE("a new incarnation starts with the usual capacity", "[LearnedCapacity]")
{
    UpstreamDirectory directory{{}};
    UpstreamEntry entry;
    entry.name = "u-1";
    entry.startedAtMs = 1;
    directory.update(std::vector<RegistryChange>{{"u-1", 1, entry}}, TimePoint{});
    const TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 10; ++i)
        directory.at(0).capacity.add(8.0, now);
    CHECK(directory.at(0).capacity.factor(now) < 0.2);
    entry.startedAtMs = 2;
    directory.update(std::vector<RegistryChange>{{"u-1", 2, entry}}, now);
    CHECK(directory.at(0).capacity.factor(now) == Approx(1.0));
}

#include "simulation/SimulatedStore.h"

#include "platform/StoreClient.h"

#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr Duration storeServiceTime = std::chrono::milliseconds(4);
constexpr Duration storeCallTimeout = std::chrono::seconds(1);
constexpr Duration storeWatchMargin = std::chrono::milliseconds(400);

/** Sizes of an answer of the store without objects, of an object in it, and of a route. */
constexpr std::size_t storeAnswerBytes = 200;
constexpr std::size_t storeObjectBytes = 300;
constexpr std::size_t storeRouteBytes = 187;

std::size_t bytesOf(const balance::ViewObject &object)
{
    const auto *configuration = std::get_if<balance::ConfigurationPtr>(&object);
    const std::size_t routes = configuration == nullptr ? 0 : (*configuration)->routes.size();
    return storeObjectBytes + routes * storeRouteBytes;
}

std::size_t bytesOf(const ViewList &list)
{
    std::size_t bytes = storeAnswerBytes;
    for (const balance::ViewItem &item : list.objects)
        bytes += bytesOf(item.value);
    return bytes;
}

std::size_t bytesOf(const ViewEvents &events)
{
    std::size_t bytes = storeAnswerBytes;
    for (const balance::ViewEvent &event : events.events)
        bytes += event.value ? bytesOf(*event.value) : storeObjectBytes;
    return bytes;
}

const Place storePlace{Place::Role::Store, "", "store"};

} // namespace internal

SimulatedStore::SimulatedStore(Surroundings &surroundings, Place client, Post post,
                               Counters &counters)
    : surroundings(surroundings)
    , ends{std::move(client), internal::storePlace, std::move(post)}
    , counters(counters)
{}

PlatformResult SimulatedStore::refusal() const
{
    switch (this->surroundings.storeFaults.modeFor(this->ends.from.name)) {
    case StoreMode::Busy:
        return PlatformResult::Busy;
    case StoreMode::TooMany:
        return PlatformResult::TooMany;
    case StoreMode::Reset:
        return PlatformResult::Unavailable;
    case StoreMode::Serving:
    case StoreMode::Silent:
        break;
    }
    return PlatformResult::Ok;
}

bool SimulatedStore::isSilent() const
{
    return this->surroundings.storeFaults.modeFor(this->ends.from.name) == StoreMode::Silent;
}

std::optional<TimePoint> SimulatedStore::lastArrival() const
{
    return this->arrivals->count > 0 ? std::optional(this->surroundings.loop.now()) : std::nullopt;
}

Duration SimulatedStore::serviceTime() const
{
    return std::chrono::duration_cast<Duration>(internal::storeServiceTime
                                                * this->surroundings.storeFaults.slowness);
}

void SimulatedStore::list(ViewKind kind, ListHandler handler)
{
    this->counters.add("store_list");
    RemoteCall<ViewList>::send(
        this->surroundings, this->ends, {internal::storeCallTimeout, this->arrivals}, this->alive,
        std::move(handler), [this, kind, weak = std::weak_ptr(this->alive)](auto respond) {
            if (weak.expired() || this->isSilent())
                return;
            if (const PlatformResult refused = this->refusal(); refused != PlatformResult::Ok)
                return respond({refused, 0, {}}, internal::storeAnswerBytes);
            this->surroundings.loop.after(this->serviceTime(), [this, kind, weak, respond] {
                if (weak.expired())
                    return;
                ViewList list = this->surroundings.store.list(kind);
                const std::size_t bytes = internal::bytesOf(list);
                respond(std::move(list), bytes);
            });
        });
}

void SimulatedStore::watchFor(ViewKind kind, StoreRevision since, std::chrono::milliseconds wait,
                              WatchHandler handler)
{
    this->counters.add("store_watch");
    RemoteCall<ViewEvents>::send(
        this->surroundings, this->ends, {wait + internal::storeWatchMargin, this->arrivals},
        this->watchesAlive, std::move(handler),
        [this, kind, since, wait, weak = std::weak_ptr(this->alive)](auto respond) {
            if (weak.expired() || this->isSilent())
                return;
            if (const PlatformResult refused = this->refusal(); refused != PlatformResult::Ok)
                return respond({refused, 0, {}}, internal::storeAnswerBytes);
            this->surroundings.store.watch(
                kind, since, wait, [this, since, weak, respond](ViewEvents events) {
                    // A store that fell silent meanwhile lets the watch wait.
                    if (weak.expired() || this->isSilent())
                        return;
                    if (events.revision.era > since.era
                        || internal::bytesOf(events) > platform::maxWatchAnswerBytes)
                        events = {PlatformResult::Gone, {}, {}};
                    this->surroundings.loop.after(this->serviceTime(), [respond, events] {
                        respond(events, internal::bytesOf(events));
                    });
                });
        });
}

void SimulatedStore::write(WriteHandler handler, std::function<PlatformResult()> apply)
{
    this->counters.add("store_write");
    const auto onAnswer = [handler = std::move(handler)](std::optional<PlatformResult> result) {
        handler(result.value_or(PlatformResult::LostAnswer));
    };
    RemoteCall<std::optional<PlatformResult>>::send(
        this->surroundings, this->ends, {internal::storeCallTimeout, this->arrivals}, this->alive,
        onAnswer,
        [this, apply = std::move(apply), weak = std::weak_ptr(this->alive)](auto respond) {
            if (weak.expired() || this->isSilent())
                return;
            if (const PlatformResult refused = this->refusal(); refused != PlatformResult::Ok)
                return respond(refused, internal::storeAnswerBytes);
            const double lost = this->surroundings.storeFaults.lostWrites;
            const PlatformResult result = apply();
            if (lost > 0 && std::bernoulli_distribution(lost)(this->surroundings.random))
                return;
            this->surroundings.loop.after(this->serviceTime(), [respond, result] {
                respond(result, internal::storeAnswerBytes);
            });
        });
}

void SimulatedStore::createMember(const balance::Member &member, WriteHandler handler)
{
    this->write(std::move(handler), [this, member] {
        StoreModel &store = this->surroundings.store;
        if (store.revisionOf(ViewKind::Members, member.name))
            return PlatformResult::Conflict;
        store.put(ViewKind::Members, member.name, member);
        return PlatformResult::Ok;
    });
}

void SimulatedStore::replaceMember(const balance::Member &member, WriteHandler handler)
{
    this->write(std::move(handler), [this, member] {
        StoreModel &store = this->surroundings.store;
        if (!store.revisionOf(ViewKind::Members, member.name))
            return PlatformResult::NotFound;
        store.put(ViewKind::Members, member.name, member);
        return PlatformResult::Ok;
    });
}

void SimulatedStore::removeMember(std::string_view name, StoreRevision revision,
                                  WriteHandler handler)
{
    this->write(std::move(handler), [this, name = std::string(name), revision] {
        StoreModel &store = this->surroundings.store;
        const auto known = store.revisionOf(ViewKind::Members, name);
        if (!known)
            return PlatformResult::NotFound;
        if (*known != revision.number || revision.era != store.era())
            return PlatformResult::Conflict;
        store.remove(ViewKind::Members, name);
        return PlatformResult::Ok;
    });
}

} // namespace bulrushgap::simulation

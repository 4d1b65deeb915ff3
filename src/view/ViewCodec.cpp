#include "view/ViewCodec.h"

#include "view/ReplyCompression.h"
#include "view/view_generated.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace bulrushgap::balance {

namespace internal {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t initialBufferBytes = 1'024;

std::uint32_t toWireMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

/** \brief Deduplicated strings of a message, referenced by index. */
class StringTable
{
public:
    std::uint16_t indexOf(const std::string &text)
    {
        const auto found = std::ranges::find(this->texts, text);
        const auto index = static_cast<std::uint16_t>(found - this->texts.begin());
        if (found == this->texts.end())
            this->texts.push_back(text);
        return index;
    }
    [[nodiscard]] const std::vector<std::string> &all() const { return this->texts; }

private:
    std::vector<std::string> texts; //!< Services and domains; few, so a linear search is enough.
};

/** \brief Builds the objects table of a message. */
class ObjectsWriter
{
public:
    explicit ObjectsWriter(FlatBufferBuilder &builder)
        : builder(builder)
    {}

    /** \param value null for a removed object. */
    void add(ViewKind kind, const std::string &name, StoreRevision revision,
             const ViewObject *value)
    {
        this->names.push_back(this->builder.CreateString(name));
        this->revisions.push_back(revision.number);
        this->eras.push_back(revision.era);
        this->removed.push_back(value == nullptr ? 1 : 0);
        switch (kind) {
        case ViewKind::Upstreams:
            this->add(value == nullptr ? UpstreamEntry{} : std::get<UpstreamEntry>(*value));
            break;
        case ViewKind::Members:
            this->add(value == nullptr ? Member{} : std::get<Member>(*value));
            break;
        case ViewKind::Configurations:
            this->add(value == nullptr ? Configuration{} : *std::get<ConfigurationPtr>(*value));
            break;
        case ViewKind::Evacuations:
            break;
        }
    }

    /** \param replyEra era of the reply, which needs not be told again */
    Offset<viewwire::Objects> finish(std::uint64_t replyEra)
    {
        const auto names = this->builder.CreateVector(this->names);
        const auto revisions = this->builder.CreateVector(this->revisions);
        const bool anyRemoved = std::ranges::find(this->removed, 1) != this->removed.end();
        const auto removed = anyRemoved ? this->builder.CreateVector(this->removed) : 0;
        const auto texts = this->builder.CreateVectorOfStrings(this->texts.all());
        const auto upstreams = this->builder.CreateVectorOfStructs(this->upstreams);
        const auto members = this->builder.CreateVectorOfStructs(this->members);
        const auto configurations = this->builder.CreateVector(this->configurations);
        const bool sameEra = std::ranges::all_of(
            this->eras, [replyEra](std::uint64_t era) { return era == replyEra; });
        const auto eras = sameEra ? 0 : this->builder.CreateVector(this->eras);
        return viewwire::CreateObjects(this->builder, names, revisions, removed, texts, upstreams,
                                       members, configurations, eras);
    }

private:
    void add(const UpstreamEntry &entry)
    {
        this->upstreams.emplace_back(
            entry.wireId, entry.startedAtMs, entry.address.address,
            toWireMilliseconds(entry.slowStart), entry.address.port,
            this->texts.indexOf(entry.service), this->texts.indexOf(entry.domain),
            static_cast<std::uint16_t>(
                std::min(entry.slots, unsigned{std::numeric_limits<std::uint16_t>::max()})),
            entry.state == UpstreamState::Draining);
    }

    void add(const Member &member)
    {
        this->members.emplace_back(member.peer.address, member.capacity, member.peer.port,
                                   this->texts.indexOf(member.domain));
    }

    void add(const Configuration &configuration)
    {
        std::vector<Offset<viewwire::Route>> routes;
        for (const Route &route : configuration.routes)
            routes.push_back(this->routeOf(route));
        std::vector<Offset<viewwire::Service>> services;
        for (const ServiceLimits &service : configuration.services)
            services.push_back(
                viewwire::CreateService(this->builder, this->builder.CreateString(service.name),
                                        toWireMilliseconds(service.slowStart),
                                        service.coldRequestsPerSecond, service.maxConnections));
        this->configurations.push_back(viewwire::CreateConfiguration(
            this->builder, configuration.version, toWireMilliseconds(configuration.idleTimeout),
            this->builder.CreateVector(routes), this->builder.CreateVector(services)));
    }

    Offset<viewwire::Route> routeOf(const Route &route)
    {
        std::vector<viewwire::Share> shares;
        for (const ServiceShare &share : route.services)
            shares.emplace_back(share.weight, this->texts.indexOf(share.service));
        return viewwire::CreateRoute(
            this->builder, this->builder.CreateString(route.name), route.address.address,
            route.address.port, route.kind == RequestKind::Idempotent,
            this->builder.CreateVectorOfStructs(shares), toWireMilliseconds(route.timeout),
            toWireMilliseconds(route.objective), route.priority);
    }

    FlatBufferBuilder &builder;
    StringTable texts;
    std::vector<Offset<flatbuffers::String>> names;
    std::vector<std::uint64_t> revisions;
    std::vector<std::uint64_t> eras; //!< Of the revisions.
    std::vector<std::uint8_t> removed;
    std::vector<viewwire::UpstreamNumbers> upstreams;
    std::vector<viewwire::MemberNumbers> members;
    std::vector<Offset<viewwire::Configuration>> configurations;
};

Bytes bytesOf(const FlatBufferBuilder &builder)
{
    const auto *begin = reinterpret_cast<const std::byte *>(builder.GetBufferPointer());
    return {begin, begin + builder.GetSize()};
}

Bytes finishReply(FlatBufferBuilder &builder, PlatformResult result, StoreRevision revision,
                  ObjectsWriter &objects)
{
    const auto written = objects.finish(revision.era);
    builder.Finish(viewwire::CreateReply(builder, static_cast<std::uint8_t>(result),
                                         revision.number, written, 0, revision.era));
    return bytesOf(builder);
}

/** \returns whether other instances can use the object. The key of an evacuation names its domain,
 * so it is in force even if its value is malformed. */
bool isUsable(ViewKind kind, const ViewObject &value)
{
    return kind == ViewKind::Evacuations || !std::holds_alternative<MalformedObject>(value);
}

/** \brief Verifies a message and gives access to its root table.
 *
 * FlatBuffers reads numbers in place, so a message that is misaligned in its frame is copied.
 */
template <typename Table>
class MessageTable
{
public:
    explicit MessageTable(std::span<const std::byte> message)
    {
        constexpr std::size_t alignment = alignof(std::uint64_t);
        if (reinterpret_cast<std::uintptr_t>(message.data()) % alignment != 0) {
            this->copy.assign(message.begin(), message.end());
            message = this->copy;
        }
        const auto *data = reinterpret_cast<const std::uint8_t *>(message.data());
        flatbuffers::Verifier verifier(data, message.size());
        if (verifier.VerifyBuffer<Table>())
            this->root = flatbuffers::GetRoot<Table>(data);
    }
    MessageTable(const MessageTable &) = delete;
    MessageTable &operator=(const MessageTable &) = delete;

    /** \returns the table, or nullptr if the message is not a valid one of this type. */
    [[nodiscard]] const Table *get() const { return this->root; }

private:
    Bytes copy;
    const Table *root = nullptr;
};

/** \brief Reads the objects of a message; isValid() is false after the first inconsistency. */
class ObjectsReader
{
public:
    ObjectsReader(ViewKind kind, const viewwire::Reply &reply)
        : kind(kind)
        , replyEra(reply.era())
        , objects(reply.objects())
    {}

    [[nodiscard]] bool isValid() const { return this->valid; }

    std::vector<ViewEvent> read()
    {
        std::vector<ViewEvent> events;
        if (this->objects == nullptr || this->objects->names() == nullptr)
            return events;
        const std::size_t count = this->objects->names()->size();
        if (!this->fits(this->objects->revisions(), count) || !this->hasValues(count)
            || !this->fitsIfPresent(this->objects->removed(), count)
            || !this->fitsIfPresent(this->objects->eras(), count)) {
            this->valid = false;
            return events;
        }
        events.reserve(count);
        for (flatbuffers::uoffset_t i = 0; i < count && this->valid; ++i)
            events.push_back(this->eventAt(i));
        return events;
    }

private:
    template <typename Vector>
    [[nodiscard]] bool fits(const Vector *vector, std::size_t count) const
    {
        return vector != nullptr && vector->size() == count;
    }

    template <typename Vector>
    [[nodiscard]] bool fitsIfPresent(const Vector *vector, std::size_t count) const
    {
        return vector == nullptr || vector->size() == count;
    }

    [[nodiscard]] bool hasValues(std::size_t count) const
    {
        switch (this->kind) {
        case ViewKind::Upstreams:
            return this->fits(this->objects->upstreams(), count);
        case ViewKind::Members:
            return this->fits(this->objects->members(), count);
        case ViewKind::Configurations:
            return this->fits(this->objects->configurations(), count);
        case ViewKind::Evacuations:
            return true;
        }
        return false;
    }

    ViewEvent eventAt(flatbuffers::uoffset_t i)
    {
        ViewEvent event;
        event.key = this->objects->names()->Get(i)->str();
        const auto *eras = this->objects->eras();
        event.version
            = {eras == nullptr ? this->replyEra : eras->Get(i), this->objects->revisions()->Get(i)};
        const auto *removed = this->objects->removed();
        if (removed == nullptr || removed->Get(i) == 0)
            event.value = this->valueAt(i, event.key);
        return event;
    }

    ViewObject valueAt(flatbuffers::uoffset_t i, const std::string &name)
    {
        switch (this->kind) {
        case ViewKind::Upstreams:
            return this->upstreamOf(*this->objects->upstreams()->Get(i), name);
        case ViewKind::Members:
            return this->memberOf(*this->objects->members()->Get(i), name);
        case ViewKind::Configurations:
            return this->configurationOf(*this->objects->configurations()->Get(i));
        case ViewKind::Evacuations:
            break;
        }
        return Evacuation{};
    }

    std::string stringAt(std::uint16_t index)
    {
        const auto *texts = this->objects->texts();
        if (texts == nullptr || index >= texts->size()) {
            this->valid = false;
            return {};
        }
        return texts->Get(index)->str();
    }

    ViewObject upstreamOf(const viewwire::UpstreamNumbers &numbers, const std::string &name)
    {
        UpstreamEntry entry;
        entry.name = name;
        entry.wireId = numbers.wireId();
        entry.address = {numbers.address(), numbers.port()};
        entry.service = this->stringAt(numbers.service());
        entry.domain = this->stringAt(numbers.domain());
        entry.state = numbers.draining() ? UpstreamState::Draining : UpstreamState::Ready;
        entry.slots = numbers.slots();
        entry.slowStart = std::chrono::milliseconds(numbers.slowStartMs());
        entry.startedAtMs = numbers.startedAtMs();
        return entry;
    }

    ViewObject memberOf(const viewwire::MemberNumbers &numbers, const std::string &name)
    {
        return Member{name,
                      this->stringAt(numbers.domain()),
                      {numbers.address(), numbers.port()},
                      numbers.capacityMbps()};
    }

    ViewObject configurationOf(const viewwire::Configuration &wire)
    {
        Configuration configuration;
        configuration.version = wire.version();
        configuration.idleTimeout = std::chrono::milliseconds(wire.idleTimeoutMs());
        if (wire.routes() != nullptr) {
            for (const auto *route : *wire.routes())
                configuration.routes.push_back(this->routeOf(*route));
        }
        if (wire.services() != nullptr) {
            for (const auto *service : *wire.services())
                configuration.services.push_back(serviceOf(*service));
        }
        return std::make_shared<const Configuration>(std::move(configuration));
    }

    Route routeOf(const viewwire::Route &wire)
    {
        Route route;
        route.name = stringOf(wire.name());
        route.address = {wire.address(), wire.port()};
        route.kind = wire.idempotent() ? RequestKind::Idempotent : RequestKind::RunAtMostOnce;
        route.timeout = std::chrono::milliseconds(wire.timeoutMs());
        route.objective = std::chrono::milliseconds(wire.objectiveMs());
        route.priority = wire.priority();
        if (wire.shares() != nullptr) {
            for (const auto *share : *wire.shares())
                route.services.push_back({this->stringAt(share->service()), share->weight()});
        }
        return route;
    }

    static ServiceLimits serviceOf(const viewwire::Service &wire)
    {
        return {stringOf(wire.name()), std::chrono::milliseconds(wire.slowStartMs()),
                wire.coldRequestsPerSecond(), wire.maxConnections()};
    }

    static std::string stringOf(const flatbuffers::String *text)
    {
        return text == nullptr ? std::string() : text->str();
    }

    ViewKind kind;
    std::uint64_t replyEra;
    const viewwire::Objects *objects;
    bool valid = true;
};

/** \brief A decoded reply to either a list or a watch. */
struct DecodedReply
{
    PlatformResult result = PlatformResult::Unavailable;
    StoreRevision revision;
    std::vector<ViewEvent> events;
};

std::optional<DecodedReply> decodePlainReply(ViewKind kind, std::span<const std::byte> message)
{
    const MessageTable<viewwire::Reply> table(message);
    const auto *reply = table.get();
    if (reply == nullptr)
        return std::nullopt;
    if (reply->result() > static_cast<std::uint8_t>(PlatformResult::LostAnswer))
        return std::nullopt;
    ObjectsReader reader(kind, *reply);
    DecodedReply decoded{static_cast<PlatformResult>(reply->result()),
                         {reply->era(), reply->revision()},
                         reader.read()};
    if (!reader.isValid())
        return std::nullopt;
    return decoded;
}

std::optional<DecodedReply> decodeReply(ViewKind kind, std::span<const std::byte> message)
{
    if (!isCompressedReply(message))
        return decodePlainReply(kind, message);
    const auto plain = decompressReply(message);
    return plain ? decodePlainReply(kind, *plain) : std::nullopt;
}

} // namespace internal

Bytes encodeRequest(const ViewRequest &request)
{
    flatbuffers::FlatBufferBuilder builder(internal::initialBufferBytes);
    const StoreRevision since = request.since.value_or(StoreRevision{});
    builder.Finish(viewwire::CreateRequest(
        builder, static_cast<std::uint8_t>(request.kind), request.since.has_value(), since.number,
        internal::toWireMilliseconds(request.wait), request.direct, 0, since.era,
        request.acceptsCompressed));
    return internal::bytesOf(builder);
}

std::optional<ViewRequest> decodeRequest(std::span<const std::byte> message)
{
    const internal::MessageTable<viewwire::Request> table(message);
    const auto *wire = table.get();
    if (wire == nullptr || wire->kind() >= viewKindCount)
        return std::nullopt;
    ViewRequest request;
    request.kind = static_cast<ViewKind>(wire->kind());
    if (wire->watch())
        request.since = StoreRevision{wire->era(), wire->since()};
    request.wait = std::chrono::milliseconds(wire->waitMs());
    request.direct = wire->direct();
    request.acceptsCompressed = wire->acceptsCompressed();
    return request;
}

Bytes encodeList(ViewKind kind, const ViewList &list)
{
    flatbuffers::FlatBufferBuilder builder(internal::initialBufferBytes);
    internal::ObjectsWriter objects(builder);
    for (const ViewItem &item : list.objects) {
        if (!item.key.empty() && internal::isUsable(kind, item.value))
            objects.add(kind, item.key, item.version, &item.value);
    }
    return internal::finishReply(builder, list.result, list.revision, objects);
}

Bytes encodeEvents(ViewKind kind, const ViewEvents &events)
{
    flatbuffers::FlatBufferBuilder builder(internal::initialBufferBytes);
    internal::ObjectsWriter objects(builder);
    for (const ViewEvent &event : events.events) {
        if (event.key.empty())
            continue;
        const bool present = event.value && internal::isUsable(kind, *event.value);
        objects.add(kind, event.key, event.version, present ? &*event.value : nullptr);
    }
    return internal::finishReply(builder, events.result, events.revision, objects);
}

std::optional<ViewList> decodeList(ViewKind kind, std::span<const std::byte> message)
{
    auto reply = internal::decodeReply(kind, message);
    if (!reply)
        return std::nullopt;
    ViewList list{reply->result, reply->revision, {}, {}};
    list.objects.reserve(reply->events.size());
    for (ViewEvent &event : reply->events) {
        if (event.value)
            list.objects.push_back({std::move(event.key), event.version, std::move(*event.value)});
    }
    return list;
}

std::optional<ViewEvents> decodeEvents(ViewKind kind, std::span<const std::byte> message)
{
    auto reply = internal::decodeReply(kind, message);
    if (!reply)
        return std::nullopt;
    return ViewEvents{reply->result, reply->revision, std::move(reply->events), {}};
}

} // namespace bulrushgap::balance

#include "view/ViewCodec.h"

#include "view/ReplyCompression.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

UpstreamEntry upstreamEntry()
{
    UpstreamEntry entry;
    entry.name = "i-7f3a91c2aa";
    entry.wireId = 0x7f3a91c2aa;
    entry.address = *Endpoint::parse("10.128.0.9:8080");
    entry.service = "dispatch";
    entry.domain = "yala";
    entry.state = UpstreamState::Draining;
    entry.slots = 2;
    entry.slowStart = milliseconds(1'500);
    entry.startedAtMs = 1'791'000'000'123;
    return entry;
}

Configuration configuration()
{
    Configuration result;
    result.version = 42;
    result.idleTimeout = milliseconds(15'000);
    result.routes = {{"feed",
                      *Endpoint::parse("198.18.0.1:8443"),
                      {{"dispatch", 90}, {"gallery", 10}},
                      RequestKind::Idempotent,
                      milliseconds(800),
                      milliseconds(120),
                      2},
                     {"booking",
                      *Endpoint::parse("198.18.0.1:80"),
                      {{"dispatch", 1}},
                      RequestKind::RunAtMostOnce}};
    result.services = {{"dispatch", std::chrono::seconds(2), 4.5, 2'000}};
    return result;
}

/** \returns an object of each kind. */
ViewObject sampleOf(ViewKind kind)
{
    switch (kind) {
    case ViewKind::Upstreams:
        return upstreamEntry();
    case ViewKind::Configurations:
        return std::make_shared<const Configuration>(configuration());
    case ViewKind::Members:
        return Member{"i-7f3a91c2aa", "yala", *Endpoint::parse("10.0.0.1:7720"), 200};
    case ViewKind::Evacuations:
        break;
    }
    return Evacuation{};
}

bool same(const ViewObject &first, const ViewObject &second)
{
    const auto *left = std::get_if<ConfigurationPtr>(&first);
    const auto *right = std::get_if<ConfigurationPtr>(&second);
    if (left == nullptr || right == nullptr)
        return first == second;
    return (*left)->version == (*right)->version && (*left)->idleTimeout == (*right)->idleTimeout
           && (*left)->routes == (*right)->routes && (*left)->services == (*right)->services;
}

const auto anyKind = [] {
    return GENERATE(ViewKind::Upstreams, ViewKind::Configurations, ViewKind::Evacuations,
                    ViewKind::Members);
};

} // namespace

// Guards against a field that is encoded and decoded differently, and against a revision that gets
// the era of its message.
TEST_CASE("objects of each kind are equal after encoding and decoding", "[ViewCodec]")
{
    const ViewKind kind = anyKind();
    const std::uint64_t earlierEra = GENERATE(2, 3);
    const StoreRevision revision{3, 77};
    const ViewList list{PlatformResult::Ok, revision, {{"i-7f3a91c2aa", {3, 70}, sampleOf(kind)}}};
    const auto decodedList = decodeList(kind, encodeList(kind, list));
    REQUIRE(decodedList);
    CHECK(decodedList->revision == revision);
    REQUIRE(decodedList->objects.size() == 1);
    CHECK(decodedList->objects[0].version == list.objects[0].version);
    CHECK(same(decodedList->objects[0].value, list.objects[0].value));

    const ViewEvents events{
        PlatformResult::Ok,
        {3, 80},
        {{"i-7f3a91c2aa", {earlierEra, 78}, sampleOf(kind)}, {"gone", {3, 79}, std::nullopt}}};
    const auto decoded = decodeEvents(kind, encodeEvents(kind, events));
    REQUIRE(decoded);
    CHECK(decoded->revision == events.revision);
    REQUIRE(decoded->events.size() == 2);
    CHECK(decoded->events[0].version == events.events[0].version);
    CHECK(decoded->events[1].version == events.events[1].version);
    CHECK(same(*decoded->events[0].value, *events.events[0].value));
    CHECK(decoded->events[1].key == "gone");
    CHECK_FALSE(decoded->events[1].value);
}

// Guards against malformed store entries that one instance forwards to others.
TEST_CASE("malformed objects are not forwarded", "[ViewCodec]")
{
    const ViewKind kind = ViewKind::Upstreams;
    const ViewObject malformed = MalformedObject{"addr", "an address"};
    const auto list
        = decodeList(kind, encodeList(kind, {PlatformResult::Ok, 1, {{"a", 1, malformed}}}));
    REQUIRE(list);
    CHECK(list->objects.empty());
    const auto events
        = decodeEvents(kind, encodeEvents(kind, {PlatformResult::Ok, 1, {{"a", 1, malformed}}}));
    REQUIRE(events);
    REQUIRE(events->events.size() == 1);
    CHECK_FALSE(events->events[0].value);
}

// Guards against a malformed object of any kind that breaks the message with the others, and
// against a malformed evacuation that ends for other instances: its key names the domain.
TEST_CASE("a malformed object does not affect the others of its message", "[ViewCodec]")
{
    const ViewKind kind = anyKind();
    const auto position = GENERATE(0U, 1U, 2U);
    const std::string name = GENERATE("b", "");
    const bool inForce = kind == ViewKind::Evacuations && !name.empty();
    ViewList list{PlatformResult::Ok, 9, {{"a", 7, sampleOf(kind)}, {"c", 8, sampleOf(kind)}}};
    list.objects.insert(list.objects.begin() + position,
                        {name, 9, MalformedObject{"spec", "readable JSON"}});
    const auto decodedList = decodeList(kind, encodeList(kind, list));
    REQUIRE(decodedList);
    CHECK(decodedList->objects.size() == (inForce ? 3 : 2));

    ViewEvents events{PlatformResult::Ok, 9, {}};
    for (const ViewItem &item : list.objects)
        events.events.push_back({item.key, item.version, item.value});
    const auto decoded = decodeEvents(kind, encodeEvents(kind, events));
    REQUIRE(decoded);
    REQUIRE(decoded->events.size() == (name.empty() ? 2 : 3));
    for (const ViewEvent &event : decoded->events)
        CHECK(event.value.has_value() == (event.key != name || inForce));
}

// Guards against requests and results that change in encoding and decoding.
TEST_CASE("requests and error results are equal after encoding and decoding", "[ViewCodec]")
{
    const auto request = GENERATE(values<ViewRequest>({
        {ViewKind::Upstreams, std::nullopt, milliseconds(0)},
        {ViewKind::Members, 0, milliseconds(15'000)},
        {ViewKind::Evacuations, UINT64_MAX, milliseconds(60)},
    }));
    CHECK(decodeRequest(encodeRequest(request)) == request);
    const PlatformResult result = GENERATE(PlatformResult::Busy, PlatformResult::Gone);
    const auto events = decodeEvents(request.kind, encodeEvents(request.kind, {result, 0, {}}));
    REQUIRE(events);
    CHECK(events->result == result);
}

// Guards against crashes and invalid reads on messages of other versions or unknown senders.
TEST_CASE("corrupted messages are rejected or decoded without invalid reads", "[ViewCodec]")
{
    const ViewKind kind = anyKind();
    const Bytes good
        = encodeList(kind, {PlatformResult::Ok, 77, {{"i-7f3a91c2aa", 70, sampleOf(kind)}}});
    rc::check("mutated messages", [&] {
        Bytes bytes = good;
        const auto changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i) {
            const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[position] = static_cast<std::byte>(*rc::gen::inRange(0, 256));
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        static_cast<void>(decodeList(kind, bytes));
        static_cast<void>(decodeEvents(kind, bytes));
        static_cast<void>(decodeRequest(bytes));
    });
}

// Guards against a view that exceeds the bandwidth of slow links.
TEST_CASE("an encoded upstream takes less than 100 bytes", "[ViewCodec]")
{
    ViewList list{PlatformResult::Ok, 1, {}};
    for (unsigned i = 0; i < 1'000; ++i) {
        UpstreamEntry entry = upstreamEntry();
        entry.name = "i-" + std::to_string(1'000'000'000ULL + i);
        list.objects.push_back({entry.name, i, entry});
    }
    CHECK(encodeList(ViewKind::Upstreams, list).size() < 100'000);
}

// Guards against misaligned reads of numbers; such reads fail only under sanitizers.
TEST_CASE("a message decodes at any offset of its frame", "[ViewCodec]")
{
    const auto offset = GENERATE(range(std::size_t{0}, std::size_t{8}));
    const ViewRequest request{ViewKind::Upstreams, StoreRevision{3, 7}, milliseconds(400)};
    ViewList list{PlatformResult::Ok, 9, {}};
    list.objects.push_back({"i-1", 5, upstreamEntry()});
    const auto placed = [&](const Bytes &message) {
        Bytes frame(offset);
        frame.insert(frame.end(), message.begin(), message.end());
        return frame;
    };
    const Bytes requestFrame = placed(encodeRequest(request));
    const auto decoded = decodeRequest(std::span(requestFrame).subspan(offset));
    REQUIRE(decoded);
    CHECK(decoded->since == request.since);
    const Bytes listFrame = placed(encodeList(ViewKind::Upstreams, list));
    const auto objects = decodeList(ViewKind::Upstreams, std::span(listFrame).subspan(offset));
    REQUIRE(objects);
    CHECK(objects->objects.size() == 1);
}

// Guards against a large view that fills a weak link, against a reply that an earlier version of
// the program can't read, and against a compressed reply that exhausts memory.
TEST_CASE("long replies are compressed and equal after decompression", "[ViewCodec]")
{
    const auto [routes, isShort] = GENERATE(table<std::size_t, bool>({{1, true}, {5'000, false}}));
    Configuration large = configuration();
    const Route route = large.routes.front();
    for (std::size_t number = 1; number < routes; ++number) {
        large.routes.push_back(route);
        large.routes.back().name += std::to_string(number);
    }
    const ViewObject object = std::make_shared<const Configuration>(large);
    const Bytes plain = encodeList(ViewKind::Configurations,
                                   {PlatformResult::Ok, {3, 77}, {{"main", {3, 70}, object}}});
    const auto packed = compressReply(plain);
    REQUIRE(packed.has_value() != isShort);
    if (isShort)
        return;
    CHECK(packed->size() * 5 < plain.size());
    const auto decoded = decodeList(ViewKind::Configurations, *packed);
    REQUIRE(decoded);
    REQUIRE(decoded->objects.size() == 1);
    CHECK(same(decoded->objects[0].value, object));
    CHECK_FALSE(isCompressedReply(plain));
    Bytes broken = *packed;
    broken.resize(broken.size() / 2);
    CHECK_FALSE(decodeList(ViewKind::Configurations, broken));
    CHECK_FALSE(decompressReply(compressReply(Bytes(maxViewMessageBytes + 1)).value()));
}

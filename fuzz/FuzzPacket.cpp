#include "platform/PacketCodec.h"
#include "steering/FlowNames.h"
#include "steering/PacketSteering.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

using namespace bulrushgap;
using namespace bulrushgap::balance;

namespace {

/** \brief An instance that decides on whatever packets come; lives for the whole run. */
class Target
{
public:
    Target()
        : steering({"a", 64}, this->directory, this->routes, this->random, hooks())
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.routes = {{"feed", *Endpoint::parse("198.18.0.1:443"), {{"s1", 1}}, {}}};
        this->routes.update(std::make_shared<const Configuration>(configuration), TimePoint{});
        UpstreamEntry entry;
        entry.name = "i-1";
        entry.service = "s1";
        entry.domain = "a";
        this->directory.replaceAll(std::vector<RegistryEntry>{{entry, 1}}, TimePoint{});
    }

    void decide(std::span<const std::byte> datagram)
    {
        const auto packet = platform::decodePacket(datagram);
        if (!packet)
            return;
        this->now += std::chrono::milliseconds(1);
        static_cast<void>(this->steering.decide(*packet, this->now));
        static_cast<void>(this->steering.tick(this->now));
        static_cast<void>(findRequestId(datagram));
        static_cast<void>(platform::encodeReset(*packet));
    }

private:
    static SteeringHooks hooks()
    {
        SteeringHooks result;
        result.startProbe = [](UpstreamIndex) {
        };
        result.startReferenceProbe = [](UpstreamIndex) {
        };
        result.isBudgetSharer = [](std::string_view, unsigned) {
            return true;
        };
        result.verifyRegistry = [] {
        };
        result.registryConfirmedAt = [] {
            return std::optional<TimePoint>();
        };
        result.resetFlow = [](const FlowPacket &, UpstreamIndex) {
        };
        return result;
    }

    UpstreamDirectory directory{{}};
    RouteTable routes;
    Random random{1};
    PacketSteering steering;
    TimePoint now{std::chrono::hours(1)};
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static Target target;
    target.decide(std::as_bytes(std::span(data, size)));
    return 0;
}

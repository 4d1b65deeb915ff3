#include "peer/FlowPacking.h"

#include <cassert>

namespace bulrushgap::internal {

constexpr unsigned bucketBits = 12;
constexpr unsigned placementBits = bucketBits + 40;
constexpr std::uint64_t bucketMask = (std::uint64_t{1} << bucketBits) - 1;
constexpr std::uint64_t placementMask = (std::uint64_t{1} << placementBits) - 1;
/** Bits of the upstream that still fit the first eight bytes. */
constexpr unsigned lowUpstreamBits = 64 - placementBits;
constexpr std::uint8_t lastByteMask = 0x0f;

std::vector<std::uint8_t> packFlows(std::span<const FlowRecord> flows)
{
    std::vector<std::uint8_t> packed;
    packed.reserve(flows.size() * packedFlowSize);
    for (const FlowRecord &flow : flows) {
        assert(flow.bucket <= bucketMask && flow.fingerprint <= (placementMask >> bucketBits));
        const std::uint64_t word = flow.bucket | (flow.fingerprint << bucketBits)
                                   | (std::uint64_t{flow.upstream.value} << placementBits);
        for (unsigned shift = 0; shift < 64; shift += 8)
            packed.push_back(static_cast<std::uint8_t>(word >> shift));
        packed.push_back(static_cast<std::uint8_t>(flow.upstream.value >> lowUpstreamBits));
    }
    return packed;
}

std::optional<std::vector<FlowRecord>> unpackFlows(std::span<const std::uint8_t> packed)
{
    if (packed.size() % packedFlowSize != 0)
        return std::nullopt;
    std::vector<FlowRecord> flows;
    flows.reserve(packed.size() / packedFlowSize);
    for (; !packed.empty(); packed = packed.subspan(packedFlowSize)) {
        const std::uint8_t last = packed[packedFlowSize - 1];
        if (last > lastByteMask)
            return std::nullopt;
        std::uint64_t word = 0;
        for (std::size_t i = 0; i < sizeof(word); ++i)
            word |= std::uint64_t{packed[i]} << (8 * i);
        FlowRecord flow;
        flow.bucket = static_cast<std::uint16_t>(word & bucketMask);
        flow.fingerprint = (word & placementMask) >> bucketBits;
        flow.upstream.value
            = static_cast<std::uint16_t>((word >> placementBits) | (last << lowUpstreamBits));
        flows.push_back(flow);
    }
    return flows;
}

} // namespace bulrushgap::internal

#pragma once

#include "message/PeerMessage.h"
#include "peer/peer_generated.h"
#include "wire/Bytes.h"

#include <string_view>
#include <vector>

namespace bulrushgap::internal {

/** \brief Encodes one message. */
class MessageEncoder
{
public:
    [[nodiscard]] Bytes encode(const PeerMessage &message);

    /** \returns whether no name or list of the encoded message was over its limit. */
    [[nodiscard]] bool isWithinLimits() const { return this->withinLimits; }

private:
    template <typename Table>
    using Offset = flatbuffers::Offset<Table>;
    template <typename Table>
    using ListOffset = Offset<flatbuffers::Vector<Offset<Table>>>;

    Offset<flatbuffers::String> text(std::string_view value);
    void limit(std::size_t size, std::size_t maximum);
    Offset<peerwire::PlanUpstream> upstream(const PlanUpstream &value);
    Offset<peerwire::PlanService> service(const PlanService &value);
    Offset<peerwire::PlanInstance> instance(const PlanInstance &value);
    Offset<peerwire::Plan> plan(const Plan &value);
    ListOffset<peerwire::ServiceFlows> flows(const std::vector<ServiceFlows> &value);

    Offset<void> body(const Hello &message);
    Offset<void> body(const Heartbeat &message);
    Offset<void> body(const PlanPush &message);
    Offset<void> body(const PlanRequest &message);
    Offset<void> body(const Digest &message);
    Offset<void> body(const Prepared &message);
    Offset<void> body(const Union &message);
    Offset<void> body(const InForce &message);
    Offset<void> body(const UpstreamStatus &message);
    Offset<void> body(const Snapshot &message);

    flatbuffers::FlatBufferBuilder builder;
    bool withinLimits = true;
};

} // namespace bulrushgap::internal

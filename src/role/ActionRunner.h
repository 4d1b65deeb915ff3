#pragma once

#include "base/Counters.h"
#include "engine/Action.h"
#include "peer/PeerMesh.h"
#include "role/DataSocket.h"
#include "wire/CoapCodec.h"

namespace bulrushgap {

/** \brief Carries out the actions of the engine: encodes messages and sends them. */
class ActionRunner
{
public:
    /** \param fabricEgress where datagrams to callers are sent */
    ActionRunner(DataSocket &data, PeerMesh &mesh, CoapCodec &codec, Endpoint fabricEgress,
                 Counters &counters);

    void run(const Actions &actions);

private:
    void perform(const SendToUpstream &action);
    void perform(const SendToCaller &action);
    void perform(const RefuseToCaller &action);
    void perform(const ChallengeCaller &action);
    void perform(const ResetFlow &action);
    void perform(const RelayPacket &action);
    void perform(const RelayRefusal &action);
    void perform(const SendToPeer &action);
    void toCaller(const FlowKey &flow, std::span<const std::byte> message);

    /** \brief Builds a reply to the request \a message; nothing is sent if it does not parse. */
    template <typename Build>
    void replyTo(const FlowKey &flow, std::span<const std::byte> message, Build &&build);

    DataSocket &data;
    PeerMesh &mesh;
    CoapCodec &codec;
    Endpoint fabricEgress;
    Counters &counters;
};

} // namespace bulrushgap

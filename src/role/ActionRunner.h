#pragma once

#include "base/Counters.h"
#include "engine/Action.h"
#include "peer/PeerMesh.h"
#include "role/DataSocket.h"
#include "wire/CoapCodec.h"

namespace bulrushgap {

/** \brief Executes the actions of the engine: encodes messages and sends them. */
class ActionRunner
{
public:
    /** \param fabricEgress address to which datagrams for callers are sent */
    ActionRunner(DataSocket &dataSocket, PeerMesh &mesh, CoapCodec &codec, Endpoint fabricEgress,
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
    void sendToCaller(const FlowKey &flow, std::span<const std::byte> message);

    /** \brief Decodes \a message and calls \a build with the packet.
     *
     * If it cannot be decoded, nothing is sent and `reply_undecodable` is counted.
     */
    template <typename Build>
    void decodeAndReply(const FlowKey &flow, std::span<const std::byte> message, Build &&build);

    DataSocket &dataSocket;
    PeerMesh &mesh;
    CoapCodec &codec;
    Endpoint fabricEgress;
    Counters &counters;
};

} // namespace bulrushgap

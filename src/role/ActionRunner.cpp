#include "role/ActionRunner.h"

#include "peer/RelayCodec.h"

#include <variant>

namespace bulrushgap {

ActionRunner::ActionRunner(DataSocket &dataSocket, PeerMesh &mesh, CoapCodec &codec,
                           Endpoint fabricEgress, Counters &counters)
    : dataSocket(dataSocket)
    , mesh(mesh)
    , codec(codec)
    , fabricEgress(fabricEgress)
    , counters(counters)
{}

void ActionRunner::run(const Actions &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &alternative) { this->perform(alternative); }, action);
}

void ActionRunner::perform(const SendToUpstream &action)
{
    const auto message = action.token
                             ? CoapCodec::withToken(action.message, *action.token, action.deadline)
                             : action.message;
    this->dataSocket.send(action.upstream,
                          CoapCodec::datagram(Direction::ToUpstream, action.flow, message));
}

void ActionRunner::perform(const SendToCaller &action)
{
    if (action.token)
        this->sendToCaller(action.flow, CoapCodec::withToken(action.message, *action.token));
    else
        this->sendToCaller(action.flow, action.message);
}

void ActionRunner::sendToCaller(const FlowKey &flow, std::span<const std::byte> message)
{
    this->dataSocket.send(this->fabricEgress,
                          CoapCodec::datagram(Direction::ToCaller, flow, message));
}

template <typename Build>
void ActionRunner::decodeAndReply(const FlowKey &flow, std::span<const std::byte> message,
                                  Build &&build)
{
    const auto datagram = CoapCodec::datagram(Direction::ToUpstream, flow, message);
    const auto packet = this->codec.decode(datagram);
    if (!packet) {
        this->counters.add("reply_undecodable");
        return;
    }
    build(*packet);
}

void ActionRunner::perform(const RefuseToCaller &action)
{
    this->decodeAndReply(action.flow, action.message, [&](const Packet &request) {
        this->sendToCaller(action.flow,
                           this->codec.refusal(request, action.verdict, action.reason));
    });
}

void ActionRunner::perform(const ChallengeCaller &action)
{
    this->decodeAndReply(action.flow, action.message, [&](const Packet &request) {
        this->sendToCaller(action.flow, this->codec.ticketChallenge(request, action.ticket));
    });
}

void ActionRunner::perform(const ResetFlow &action)
{
    this->decodeAndReply(action.flow, action.message, [&](const Packet &packet) {
        this->sendToCaller(action.flow, CoapCodec::reset(packet));
    });
}

void ActionRunner::perform(const RelayPacket &action)
{
    const auto direction = action.towardsCaller ? Direction::ToCaller : Direction::ToUpstream;
    const auto message
        = action.token ? CoapCodec::withToken(action.message, *action.token) : action.message;
    const auto datagram = CoapCodec::datagram(direction, action.flow, message);
    this->dataSocket.send(action.receiver, RelayCodec::encode(action.header, datagram));
}

void ActionRunner::perform(const RelayRefusal &action)
{
    this->decodeAndReply(action.flow, action.message, [&](const Packet &request) {
        const auto refusal = this->codec.refusal(request, action.verdict, action.reason);
        const auto datagram = CoapCodec::datagram(Direction::ToCaller, action.flow, refusal);
        this->dataSocket.send(action.receiver, RelayCodec::encode(action.header, datagram));
    });
}

void ActionRunner::perform(const SendToPeer &action)
{
    if (!this->mesh.send(action.peer, action.message))
        this->counters.add("peer_message_dropped");
}

} // namespace bulrushgap

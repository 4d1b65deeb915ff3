#include "role/ActionRunner.h"

#include "peer/RelayCodec.h"

#include <variant>

namespace bulrushgap {

ActionRunner::ActionRunner(DataSocket &data, PeerMesh &mesh, CoapCodec &codec,
                           Endpoint fabricEgress, Counters &counters)
    : data(data)
    , mesh(mesh)
    , codec(codec)
    , fabricEgress(fabricEgress)
    , counters(counters)
{}

void ActionRunner::run(const Actions &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &order) { this->perform(order); }, action);
}

void ActionRunner::perform(const SendToUpstream &action)
{
    const auto message = action.token
                             ? CoapCodec::withToken(action.message, *action.token, action.deadline)
                             : action.message;
    this->data.send(action.upstream,
                    CoapCodec::datagram(Direction::ToUpstream, action.flow, message));
}

void ActionRunner::perform(const SendToCaller &action)
{
    if (action.token)
        this->toCaller(action.flow, CoapCodec::withToken(action.message, *action.token));
    else
        this->toCaller(action.flow, action.message);
}

void ActionRunner::toCaller(const FlowKey &flow, std::span<const std::byte> message)
{
    this->data.send(this->fabricEgress, CoapCodec::datagram(Direction::ToCaller, flow, message));
}

template <typename Build>
void ActionRunner::replyTo(const FlowKey &flow, std::span<const std::byte> message, Build &&build)
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
    this->replyTo(action.flow, action.message, [&](const Packet &request) {
        this->toCaller(action.flow, this->codec.refusal(request, action.verdict, action.reason));
    });
}

void ActionRunner::perform(const ChallengeCaller &action)
{
    this->replyTo(action.flow, action.message, [&](const Packet &request) {
        this->toCaller(action.flow, this->codec.ticketChallenge(request, action.ticket));
    });
}

void ActionRunner::perform(const ResetFlow &action)
{
    this->replyTo(action.flow, action.message, [&](const Packet &packet) {
        this->toCaller(action.flow, CoapCodec::reset(packet));
    });
}

void ActionRunner::perform(const RelayPacket &action)
{
    const auto direction = action.towardsCaller ? Direction::ToCaller : Direction::ToUpstream;
    const auto message
        = action.token ? CoapCodec::withToken(action.message, *action.token) : action.message;
    const auto datagram = CoapCodec::datagram(direction, action.flow, message);
    this->data.send(action.receiver, RelayCodec::encode(action.header, datagram));
}

void ActionRunner::perform(const RelayRefusal &action)
{
    this->replyTo(action.flow, action.message, [&](const Packet &request) {
        const auto refusal = this->codec.refusal(request, action.verdict, action.reason);
        const auto datagram = CoapCodec::datagram(Direction::ToCaller, action.flow, refusal);
        this->data.send(action.receiver, RelayCodec::encode(action.header, datagram));
    });
}

void ActionRunner::perform(const SendToPeer &action)
{
    if (!this->mesh.send(action.peer, action.message))
        this->counters.add("peer_message_dropped");
}

} // namespace bulrushgap

#pragma once

#include "base/Endpoint.h"
#include "base/Reasons.h"
#include "base/Verdict.h"
#include "message/PeerMessage.h"
#include "message/RelayHeader.h"
#include "packet/Packet.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrushgap {

/** \brief Owned bytes of an application message. */
using MessageBytes = std::vector<std::byte>;

/** \brief Sends \a message to an upstream; replaces its token and deadline if they are set. */
struct SendToUpstream
{
    Endpoint upstream;
    FlowKey flow;
    MessageBytes message;
    std::optional<Token> token = std::nullopt;
    std::optional<Duration> deadline = std::nullopt;
};

/** \brief Sends \a message to the caller of \a flow; replaces its token if one is set. */
struct SendToCaller
{
    FlowKey flow;
    MessageBytes message;
    std::optional<Token> token = std::nullopt;
};

/** \brief Answers the request \a message with a refusal. */
struct RefuseToCaller
{
    FlowKey flow;
    MessageBytes message;
    Verdict verdict = Verdict::NotRun;
    RefusalReason reason = RefusalReason::Overloaded;
};

/** \brief Answers the request \a message with a ticket that the caller must repeat it with. */
struct ChallengeCaller
{
    FlowKey flow;
    MessageBytes message;
    std::vector<std::byte> ticket;
};

/** \brief Resets a flow; the caller then opens a new one. */
struct ResetFlow
{
    FlowKey flow;
    MessageBytes message;
};

/** \brief Relays a packet to another instance on the data path. */
struct RelayPacket
{
    Endpoint receiver;
    RelayHeader header;
    FlowKey flow;
    bool towardsCaller = false; //!< Direction of the relayed packet.
    MessageBytes message;
    std::optional<Token> token = std::nullopt;
};

/** \brief Relays the refusal of a request to the instance that holds its record. */
struct RelayRefusal
{
    Endpoint receiver;
    RelayHeader header;
    FlowKey flow;
    MessageBytes message; //!< The request.
    Verdict verdict = Verdict::NotRun;
    RefusalReason reason = RefusalReason::Overloaded;
};

/** \brief Sends a message to a peer on the control path. */
struct SendToPeer
{
    std::string peer;
    PeerMessage message;
};

/** \brief An effect of a decision, executed by the caller of the engine. */
using Action = std::variant<SendToUpstream, SendToCaller, RefuseToCaller, ChallengeCaller,
                            ResetFlow, RelayPacket, RelayRefusal, SendToPeer>;

/** \brief Actions, to be executed in this order. */
using Actions = std::vector<Action>;

} // namespace bulrushgap

#pragma once

#include <string_view>

namespace bulrushgap {

/** \brief Why a packet or request was refused. Each reason has a counter. */
enum class RefusalReason {
    MalformedPacket,   //!< The datagram does not parse.
    UnknownService,    //!< The destination is not a service address of the plan.
    ServiceMismatch,   //!< A flow, answer or ticket belongs to another service.
    NoConfiguration,   //!< No plan is known and none can be loaded.
    NotReady,          //!< No plan yet and no peer to relay to.
    NoUpstream,        //!< The service has no usable upstream.
    DomainOut,         //!< The flow's upstream is in a failure domain that was taken out.
    DomainUnreachable, //!< The upstream's failure domain sent no recent heartbeat.
    UpstreamGone,      //!< The flow's upstream was removed.
    QueueFull,         //!< The request queue of the service is full.
    Deadline,          //!< The request cannot start, or did not end, before its deadline.
    Overloaded,        //!< All upstreams shed the request and no retry is left.
    RetryBudget,       //!< A retry was due but the retry budget is exhausted.
    UpstreamFailed,    //!< The upstream failed after the request was sent to it.
    TicketMissing,     //!< A request that is not idempotent has no ticket.
    TicketInvalid,     //!< The ticket's MAC or format is wrong.
    TicketExpired,     //!< The ticket expired before the request ran.
    TicketIssuerGone,  //!< The issuer of the ticket restarted or is dead.
    StaleRelay,        //!< A relayed packet names another boot of this instance.
    DuplicateRelay,    //!< A relayed packet was received before.
    HopLimit,          //!< A relayed packet has reached the hop limit.
    SilentFlow,        //!< The upstream of a flow stopped answering.
    Cancelled,         //!< The caller cancelled the request.
    Stopping,          //!< The instance is shutting down.
    Count,
};

/** \brief Why a request was sent again. Each reason has a counter. */
enum class RetryReason {
    Shed,            //!< The upstream reported that it did not run the request.
    UpstreamError,   //!< The upstream answered with a server error to an idempotent request.
    AttemptTimeout,  //!< No answer to an idempotent request within the attempt timeout.
    UpstreamEjected, //!< The upstream was ejected while an idempotent request waited for it.
    Count,
};

/** \returns the name used in counters, logs and responses. */
[[nodiscard]] std::string_view toString(RefusalReason reason);
[[nodiscard]] std::string_view toString(RetryReason reason);

} // namespace bulrushgap

#pragma once

#include "base/Scheduler.h"
#include "simulation/FlowEnd.h"
#include "simulation/HttpExchange.h"

#include <functional>
#include <memory>
#include <utility>

namespace bulrushgap::simulation {

/** \brief Why a flow has ended at its caller. */
enum class FlowFailure {
    NoAnswer, //!< No upstream has answered the SYN and its copies.
    Reset,    //!< A reset came.
    Closed,   //!< The upstream closed the flow.
    Broken,   //!< What came is no answer in the protocol, or not from the upstream.
};

struct CallerFlowHooks
{
    std::function<void(WirePacket packet)> send;
    std::function<void()> onOpen;
    std::function<void(const HttpAnswer &answer)> onAnswer;

    /** \param opened whether an upstream had taken the flow: a request may have run. */
    std::function<void(FlowFailure failure, bool opened)> onFailed;

    /** A reset came that no upstream wrote. \param opened as above */
    std::function<void(const WirePacket &reset, bool opened)> onForeignReset;
};

/** \brief A flow at its caller: SYN with copies, one request after the other, end. */
class CallerFlow
{
public:
    CallerFlow(const Scheduler &scheduler, Endpoint local, Endpoint route, std::uint32_t sequence);

    /** \brief Must be called before open(). */
    void setHooks(CallerFlowHooks next) { this->hooks = std::move(next); }

    /** \brief Sends the SYN; the request goes out once the flow is open. */
    void open();
    void request(const HttpRequest &request);
    void onPacket(const WirePacket &packet);

    /** \brief Ends the flow; no hook is called any more but send. */
    void close();

    [[nodiscard]] Endpoint localAddress() const { return this->local; }
    [[nodiscard]] Endpoint routeAddress() const { return this->route; }
    [[nodiscard]] bool isOpen() const { return this->end != nullptr && !this->failed; }
    [[nodiscard]] TimePoint openedAt() const { return this->openTime; }

private:
    void sendSyn();
    void onSynAck(const WirePacket &packet);
    void onReset(const WirePacket &packet);
    void fail(FlowFailure failure);

    const Scheduler &scheduler;
    Endpoint local;
    Endpoint route;
    std::uint32_t sequence;
    CallerFlowHooks hooks;
    std::unique_ptr<FlowEnd> end;
    std::unique_ptr<AnswerStream> answers;
    Bytes waiting; //!< A request that waits for the flow to open.
    Scheduler::Timer synTimer;
    TimePoint openTime{};
    unsigned copies = 0;
    bool closing = false;
    bool failed = false;
};

} // namespace bulrushgap::simulation

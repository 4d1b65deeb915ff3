#pragma once

#include "simulation/Surroundings.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace bulrushgap::simulation {

/** \brief Runs something in a process: at once, or when it runs again after a pause. */
using Post = std::function<void(std::function<void()> task)>;

/** \brief Both ends of a call; the answer is handled in the process at \c from. */
struct CallEnds
{
    Place from;
    Place to;
    Post post;
};

/** \brief Answers that are arriving at a client, over one connection or one for each call. */
struct AnswerArrivals
{
    std::size_t count = 0;
    bool shareConnection = false; //!< Other answers wait behind one that is arriving.

    /** How long a call on a shared connection waits on after it was due behind another answer. */
    static constexpr Duration idleTimeout = std::chrono::milliseconds(700);
};

/** \brief What a client waits for an answer.
 *
 * Like in the clients of the product, the timeout ends when the answer begins to arrive.
 */
struct CallPatience
{
    Duration timeout;
    std::shared_ptr<AnswerArrivals> arrivals;
};

/** \brief A call to another place that may never be answered.
 *
 * \tparam Answer what the handler gets; its default stands for no usable answer.
 */
template <typename Answer>
class RemoteCall
{
public:
    using Handler = std::function<void(Answer answer)>;

    /** \brief Sends the answer back; \a bytes is its size on the links. */
    using Respond = std::function<void(Answer answer, std::size_t bytes)>;

    /** \brief What the other place does; it calls \a respond once, now or later. */
    using Serve = std::function<void(Respond respond)>;

    /** \brief Sends the call.
     * \param alive the call is dropped without an answer once it has expired. */
    static void send(Surroundings &surroundings, const CallEnds &ends, CallPatience patience,
                     std::weak_ptr<bool> alive, Handler handler, Serve serve)
    {
        const auto call = std::make_shared<RemoteCall>(
            surroundings, ends, std::move(patience.arrivals), std::move(alive), std::move(handler));
        call->expireAfter(patience.timeout);
        call->travel(call->ends.from, call->ends.to, requestBytes,
                     [call, serve = std::move(serve)] {
                         serve([call](Answer answer, std::size_t bytes) {
                             call->answer(std::move(answer), bytes);
                         });
                     });
    }

    RemoteCall(Surroundings &surroundings, CallEnds ends, std::shared_ptr<AnswerArrivals> arrivals,
               std::weak_ptr<bool> alive, Handler handler)
        : surroundings(surroundings)
        , ends(std::move(ends))
        , arrivals(std::move(arrivals))
        , alive(std::move(alive))
        , handler(std::move(handler))
    {}

private:
    static constexpr std::size_t requestBytes = 200;

    static void expire(const std::shared_ptr<RemoteCall> &call)
    {
        const bool waitsBehindOther = call->arrivals->shareConnection && call->arrivals->count > 0;
        if (waitsBehindOther && !*call->done)
            call->expireAfter(AnswerArrivals::idleTimeout);
        else if (!*call->arriving)
            call->finish(Answer{});
    }

    void expireAfter(Duration timeout)
    {
        this->surroundings.loop.after(
            timeout, [call = std::make_shared<RemoteCall>(*this)] { expire(call); });
    }

    void travel(const Place &start, const Place &goal, std::size_t bytes,
                std::function<void()> arrive, std::function<void()> begin = {})
    {
        this->surroundings.transport.send(start, goal, {Transmission::Kind::Stream, bytes},
                                          std::move(arrive), std::move(begin));
    }

    void answer(Answer answer, std::size_t bytes)
    {
        const auto call = std::make_shared<RemoteCall>(*this);
        const auto kept = std::make_shared<Answer>(std::move(answer));
        this->travel(
            this->ends.to, this->ends.from, bytes,
            [call, kept] {
                --call->arrivals->count;
                call->finish(std::move(*kept));
            },
            [call] {
                ++call->arrivals->count;
                *call->arriving = true;
            });
    }

    void finish(Answer answer)
    {
        if (std::exchange(*this->done, true))
            return;
        const auto kept = std::make_shared<Answer>(std::move(answer));
        this->ends.post([alive = this->alive, handler = this->handler, kept] {
            if (!alive.expired())
                handler(std::move(*kept));
        });
    }

    Surroundings &surroundings;
    CallEnds ends;
    std::shared_ptr<AnswerArrivals> arrivals;
    std::weak_ptr<bool> alive;
    Handler handler;
    std::shared_ptr<bool> arriving = std::make_shared<bool>(false);
    std::shared_ptr<bool> done = std::make_shared<bool>(false);
};

} // namespace bulrushgap::simulation

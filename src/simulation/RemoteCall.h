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
    static void send(Surroundings &surroundings, const CallEnds &ends, Duration timeout,
                     std::weak_ptr<bool> alive, Handler handler, Serve serve)
    {
        const auto call = std::make_shared<RemoteCall>(surroundings, ends, std::move(alive),
                                                       std::move(handler));
        surroundings.loop.after(timeout, [call] { call->finish(Answer{}); });
        call->travel(call->ends.from, call->ends.to, requestBytes,
                     [call, serve = std::move(serve)] {
                         serve([call](Answer answer, std::size_t bytes) {
                             call->answer(std::move(answer), bytes);
                         });
                     });
    }

    RemoteCall(Surroundings &surroundings, CallEnds ends, std::weak_ptr<bool> alive,
               Handler handler)
        : surroundings(surroundings)
        , ends(std::move(ends))
        , alive(std::move(alive))
        , handler(std::move(handler))
    {}

private:
    static constexpr std::size_t requestBytes = 200;

    void travel(const Place &start, const Place &goal, std::size_t bytes,
                std::function<void()> arrive)
    {
        this->surroundings.transport.send(start, goal, {Transmission::Kind::Stream, bytes},
                                          std::move(arrive));
    }

    void answer(Answer answer, std::size_t bytes)
    {
        const auto call = std::make_shared<RemoteCall>(*this);
        const auto kept = std::make_shared<Answer>(std::move(answer));
        this->travel(this->ends.to, this->ends.from, bytes,
                     [call, kept] { call->finish(std::move(*kept)); });
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
    std::weak_ptr<bool> alive;
    Handler handler;
    std::shared_ptr<bool> done = std::make_shared<bool>(false);
};

} // namespace bulrushgap::simulation

#include "view/HedgedList.h"

#include <algorithm>
#include <cassert>
#include <span>
#include <utility>

namespace bulrushgap::balance {

void HedgedList::start(const Scheduler &scheduler, Plan plan, Hooks hooks, ListHandler handler)
{
    assert(!plan.order.empty());
    std::make_shared<HedgedList>(scheduler, std::move(plan), std::move(hooks), std::move(handler))
        ->askNext();
}

HedgedList::HedgedList(const Scheduler &scheduler, Plan plan, Hooks hooks, ListHandler handler)
    : scheduler(scheduler)
    , plan(std::move(plan))
    , hooks(std::move(hooks))
    , handler(std::move(handler))
{}

void HedgedList::askNext()
{
    if (this->asked == this->plan.order.size())
        return;
    const ViewSource source = this->plan.order[this->asked++];
    this->waitForAnswer(this->plan.delay);
    this->hooks.send(source, [self = this->shared_from_this()](ViewList list) {
        self->onAnswer(std::move(list));
    });
}

void HedgedList::waitForAnswer(Duration delay)
{
    this->timer = this->scheduler.after(delay, [weak = this->weak_from_this(), delay] {
        const auto self = weak.lock();
        if (self && self->handler)
            self->onDelayElapsed(delay);
    });
}

void HedgedList::onDelayElapsed(Duration waited)
{
    const std::span<const ViewSource> askedSources(this->plan.order.data(), this->asked);
    if (std::ranges::any_of(askedSources, this->hooks.isArriving)) {
        this->waitForAnswer(waited);
        return;
    }
    const bool responding = this->hooks.isResponding(askedSources.back());
    if (responding && waited < this->plan.respondingDelay)
        this->waitForAnswer(this->plan.respondingDelay);
    else
        this->askNext();
}

void HedgedList::onAnswer(ViewList list)
{
    if (!this->handler)
        return;
    const bool usable = list.result == PlatformResult::Ok;
    if (!usable && ++this->failed < this->plan.order.size()) {
        if (this->failed == this->asked)
            this->askNext();
        return;
    }
    this->timer.reset();
    std::exchange(this->handler, {})(std::move(list));
}

} // namespace bulrushgap::balance

#include "steering/FlowTracker.h"

#include <xxhash.h>

#include <utility>

namespace bulrushgap::balance {

std::size_t FlowIdHash::operator()(const FlowId &flow) const
{
    constexpr unsigned portBits = 16;
    const std::array<std::uint64_t, 2> words{
        (static_cast<std::uint64_t>(flow.caller.address) << portBits) | flow.caller.port,
        (static_cast<std::uint64_t>(flow.route.address) << portBits) | flow.route.port};
    return XXH3_64bits(words.data(), sizeof(words));
}

FlowTracker::FlowTracker(std::size_t capacity, RemoveHandler onRemove)
    : capacity(capacity)
    , onRemove(std::move(onRemove))
{}

FlowState *FlowTracker::find(const FlowId &flow)
{
    const auto found = this->flows.find(flow);
    return found == this->flows.end() ? nullptr : &found->second;
}

FlowState *FlowTracker::findOrAdd(const FlowId &flow, TimePoint now)
{
    const auto found = this->flows.find(flow);
    if (found != this->flows.end())
        return &found->second;
    if (this->flows.size() >= this->capacity)
        return nullptr;
    FlowState &state = this->flows[flow];
    state.firstSeen = now;
    state.lastSeen = now;
    return &state;
}

void FlowTracker::remove(const FlowId &flow)
{
    const auto found = this->flows.find(flow);
    if (found == this->flows.end())
        return;
    this->onRemove(found->first, found->second);
    this->flows.erase(found);
}

void FlowTracker::removeIdle(TimePoint oldest)
{
    for (auto flow = this->flows.begin(); flow != this->flows.end();) {
        if (flow->second.lastSeen >= oldest) {
            ++flow;
            continue;
        }
        this->onRemove(flow->first, flow->second);
        this->flows.erase(flow++);
    }
}

void FlowTracker::visit(const std::function<void(const FlowId &flow, FlowState &state)> &visitor)
{
    for (auto &[flow, state] : this->flows)
        visitor(flow, state);
}

} // namespace bulrushgap::balance

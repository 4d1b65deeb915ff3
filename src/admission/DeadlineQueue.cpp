#include "admission/DeadlineQueue.h"

#include <algorithm>
#include <cassert>
#include <random>

namespace bulrushgap {

PushOutcome DeadlineQueue::push(const QueuedRequest &request, const ServiceRate &rate,
                                TimePoint now, Random &random)
{
    assert(rate.slots > 0);
    assert(!this->deadlines.contains(request.handle));
    const Key key(request.deadline, request.handle);
    const auto position = std::ranges::lower_bound(this->entries, key);
    const auto ahead = static_cast<Duration::rep>(position - this->entries.begin());
    const Duration wait = rate.serviceTime * (ahead + 1) / static_cast<int>(rate.slots);
    if (now + wait + rate.serviceTimeBound > request.deadline)
        return {PushResult::TooLate, request.handle};
    this->entries.insert(position, key);
    this->deadlines.emplace(request.handle, request.deadline);
    if (this->entries.size() <= this->capacity)
        return {};
    std::uniform_int_distribution<std::size_t> pick(0, this->entries.size() - 1);
    const std::uint64_t victim = this->entries[pick(random)].second;
    this->remove(victim);
    return {PushResult::Overflowed, victim};
}

std::vector<std::uint64_t> DeadlineQueue::takeLate(const ServiceRate &rate, TimePoint now)
{
    std::vector<std::uint64_t> late;
    for (const auto &[deadline, handle] : this->entries) {
        if (now + rate.serviceTimeBound <= deadline)
            break;
        late.push_back(handle);
    }
    for (const std::uint64_t handle : late)
        this->remove(handle);
    return late;
}

void DeadlineQueue::drainTo(const std::function<bool(std::uint64_t)> &take,
                            const std::function<bool()> &canContinue)
{
    std::vector<std::uint64_t> taken;
    for (const auto &[deadline, handle] : this->entries) {
        if (!canContinue())
            break;
        if (take(handle))
            taken.push_back(handle);
    }
    for (const std::uint64_t handle : taken)
        this->remove(handle);
}

bool DeadlineQueue::remove(std::uint64_t handle)
{
    const auto found = this->deadlines.find(handle);
    if (found == this->deadlines.end())
        return false;
    const Key key(found->second, handle);
    this->entries.erase(std::ranges::lower_bound(this->entries, key));
    this->deadlines.erase(found);
    return true;
}

} // namespace bulrushgap

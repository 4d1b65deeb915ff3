#include "engine/PendingRequests.h"

namespace bulrushgap {

PendingRequest *PendingRequests::add(PendingRequest request)
{
    const auto handle = this->nextHandle;
    if (!this->byCaller.emplace(CallerKey{request.flow, request.token}, handle).second)
        return nullptr;
    ++this->nextHandle;
    request.handle = handle;
    return &this->requests.emplace(handle, std::move(request)).first->second;
}

PendingRequest *PendingRequests::find(std::uint64_t handle)
{
    const auto found = this->requests.find(handle);
    return found == this->requests.end() ? nullptr : &found->second;
}

PendingRequest *PendingRequests::find(const FlowKey &flow, const Token &token)
{
    const auto found = this->byCaller.find(CallerKey{flow, token});
    return found == this->byCaller.end() ? nullptr : this->find(found->second);
}

void PendingRequests::remove(std::uint64_t handle)
{
    const auto found = this->requests.find(handle);
    if (found == this->requests.end())
        return;
    this->byCaller.erase(CallerKey{found->second.flow, found->second.token});
    this->requests.erase(found);
}

std::vector<std::uint64_t> PendingRequests::expiredRelays(TimePoint now) const
{
    std::vector<std::uint64_t> handles;
    for (const auto &[handle, request] : this->requests) {
        if (request.relayed && !request.removeAt && request.deadline <= now)
            handles.push_back(handle);
    }
    return handles;
}

void PendingRequests::removeExpired(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[handle, request] : this->requests) {
        if (request.removeAt && *request.removeAt <= now)
            expired.push_back(handle);
    }
    for (const auto handle : expired)
        this->remove(handle);
}

} // namespace bulrushgap

#include "membership/PeerTable.h"

#include <algorithm>
#include <set>

namespace bulrushgap {

std::string_view toString(PlanProgress progress)
{
    switch (progress) {
    case PlanProgress::InForce:
        return "in_force";
    case PlanProgress::Preparing:
        return "preparing";
    case PlanProgress::Behind:
        return "behind";
    case PlanProgress::Silent:
        return "silent";
    case PlanProgress::Unknown:
        return "unknown";
    }
    return "unknown";
}

PeerTable::HelloResult PeerTable::onHello(const Hello &hello, TimePoint now)
{
    const auto [position, isNew] = this->peers.try_emplace(hello.instance);
    Peer &peer = position->second;
    const bool restarted = !isNew && peer.hello.bootId != hello.bootId;
    if (restarted) {
        this->counters.add("peer_restarted");
        peer.heartbeat.reset();
    }
    peer.hello = hello;
    this->touch(peer, now);
    if (isNew)
        return HelloResult::New;
    return restarted ? HelloResult::Restarted : HelloResult::Known;
}

void PeerTable::onMessage(std::string_view name, TimePoint now)
{
    const auto found = this->peers.find(name);
    if (found != this->peers.end())
        this->touch(found->second, now);
}

void PeerTable::onHeartbeat(std::string_view name, const Heartbeat &heartbeat, TimePoint now)
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end())
        return;
    found->second.heartbeat = heartbeat;
    this->touch(found->second, now);
}

void PeerTable::onPlan(const Plan &plan)
{
    this->names.clear();
    this->ids.clear();
    for (const PlanInstance &instance : plan.instances) {
        this->names.emplace(instance.id, instance.name);
        this->ids.emplace(instance.name, instance.id);
    }
}

bool PeerTable::isLive(std::string_view name, TimePoint now) const
{
    const Peer *peer = this->find(name);
    return peer != nullptr && this->isAlive(*peer, now);
}

bool PeerTable::isLive(InstanceId id, TimePoint now) const
{
    return this->isLive(this->nameOf(id), now);
}

std::vector<LiveInstance> PeerTable::livePeers(TimePoint now) const
{
    std::vector<LiveInstance> instances;
    for (const auto &[name, peer] : this->peers) {
        const auto peerAddress = Endpoint::parse(peer.hello.peerAddress);
        const auto dataAddress = Endpoint::parse(peer.hello.dataAddress);
        if (!this->isAlive(peer, now) || !peerAddress || !dataAddress)
            continue;
        instances.push_back({name, peer.hello.domain, *peerAddress, *dataAddress, peer.hello.bootId,
                             peer.heartbeat && peer.heartbeat->leaving});
    }
    return instances;
}

std::vector<std::string> PeerTable::takeDeadPeers(TimePoint now)
{
    std::vector<std::string> names;
    for (auto &[name, peer] : this->peers) {
        if (this->isAlive(peer, now) || peer.reportedDead)
            continue;
        peer.reportedDead = true;
        this->counters.add("peer_dead");
        names.push_back(name);
    }
    std::erase_if(this->peers,
                  [&](const auto &item) { return now - item.second.lastMessage > retention; });
    return names;
}

std::vector<std::string> PeerTable::reachableDomains(TimePoint now) const
{
    std::set<std::string> domains;
    for (const auto &[name, peer] : this->peers) {
        if (this->isAlive(peer, now))
            domains.insert(peer.hello.domain);
    }
    return {domains.begin(), domains.end()};
}

std::vector<InstanceProgress> PeerTable::convergence(PlanId plan, std::string_view self,
                                                     TimePoint now) const
{
    std::vector<InstanceProgress> report;
    for (const auto &[name, id] : this->ids) {
        if (name == self)
            continue;
        InstanceProgress entry{name, {}, PlanProgress::Unknown};
        const Peer *peer = this->find(name);
        if (peer != nullptr) {
            const Heartbeat heartbeat = peer->heartbeat.value_or(Heartbeat{});
            entry.inForce = heartbeat.inForce;
            if (!this->isAlive(*peer, now))
                entry.progress = PlanProgress::Silent;
            else if (heartbeat.inForce >= plan)
                entry.progress = PlanProgress::InForce;
            else if (heartbeat.newest >= plan)
                entry.progress = PlanProgress::Preparing;
            else
                entry.progress = PlanProgress::Behind;
        }
        report.push_back(std::move(entry));
    }
    return report;
}

PlanId PeerTable::newestPlan(TimePoint now) const
{
    PlanId newest;
    for (const auto &[name, peer] : this->peers) {
        if (this->isAlive(peer, now) && peer.heartbeat)
            newest = std::max(newest, peer.heartbeat->newest);
    }
    return newest;
}

const Peer *PeerTable::find(std::string_view name) const
{
    const auto found = this->peers.find(name);
    return found != this->peers.end() ? &found->second : nullptr;
}

const Peer *PeerTable::find(InstanceId id) const
{
    return this->find(this->nameOf(id));
}

std::optional<InstanceId> PeerTable::idOf(std::string_view name) const
{
    const auto found = this->ids.find(name);
    if (found == this->ids.end())
        return std::nullopt;
    return found->second;
}

std::string_view PeerTable::nameOf(InstanceId id) const
{
    const auto found = this->names.find(id);
    return found != this->names.end() ? std::string_view(found->second) : std::string_view();
}

void PeerTable::touch(Peer &peer, TimePoint now)
{
    if (peer.reportedDead) {
        peer.reportedDead = false;
        this->counters.add("peer_returned");
    }
    peer.lastMessage = std::max(peer.lastMessage, now);
}

} // namespace bulrushgap

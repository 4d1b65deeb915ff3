#include "view/MemberSweeper.h"

#include <utility>

namespace bulrushgap::balance {

namespace internal {

constexpr Duration sweepInterval = std::chrono::seconds(2);

/** An instance that accepts no connection for this long is considered lost. Most restarts, network
 * partitions and process pauses are shorter, and a new registration costs two calls. */
constexpr Duration lostTimeout = std::chrono::seconds(20);
constexpr unsigned minFailedChecks = 4;

} // namespace internal

MemberSweeper::MemberSweeper(const Scheduler &scheduler, MemberStore &store, std::string self,
                             Counters &counters, Log &log, MemberSweeperHooks hooks)
    : scheduler(scheduler)
    , store(store)
    , self(std::move(self))
    , counters(counters)
    , log(log)
    , hooks(std::move(hooks))
{}

void MemberSweeper::start()
{
    this->timer = this->scheduler.after(internal::sweepInterval, [this] {
        this->sweep();
        this->start();
    });
}

void MemberSweeper::update(MemberEntries next)
{
    this->entries = std::move(next);
    std::erase_if(this->failing,
                  [this](const auto &entry) { return !this->entries.contains(entry.first); });
}

void MemberSweeper::sweep()
{
    if (!this->hooks.isDirect()) {
        this->failing.clear();
        return;
    }
    if (this->checking)
        return;
    const MemberEntry *entry = this->nextToCheck();
    if (entry == nullptr)
        return;
    this->checking = true;
    this->hooks.checkPeer(entry->member.peer, [this, checked = *entry](bool accepts) {
        this->checking = false;
        this->onChecked(checked, accepts);
    });
}

const MemberEntry *MemberSweeper::nextToCheck()
{
    // Every other check is of a failing instance, which detects losses early in large deployments.
    this->checkFailing = !this->checkFailing;
    if (this->checkFailing && !this->failing.empty()) {
        const auto found = this->entries.find(this->failing.begin()->first);
        if (found != this->entries.end())
            return &found->second;
    }
    auto next = this->entries.upper_bound(this->lastChecked);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        if (next == this->entries.end())
            next = this->entries.begin();
        if (next->first != this->self) {
            this->lastChecked = next->first;
            return &next->second;
        }
        ++next;
    }
    return nullptr;
}

void MemberSweeper::onChecked(const MemberEntry &entry, bool accepts)
{
    const auto found = this->entries.find(entry.member.name);
    if (found == this->entries.end() || found->second != entry)
        return;
    if (accepts) {
        this->failing.erase(entry.member.name);
        return;
    }
    FailedChecks &failed = this->failing[entry.member.name];
    if (failed.count++ == 0)
        failed.since = this->scheduler.now();
    const bool timedOut = this->scheduler.now() - failed.since >= internal::lostTimeout;
    if (timedOut && failed.count >= internal::minFailedChecks)
        this->remove(entry, failed);
}

void MemberSweeper::remove(const MemberEntry &entry, const FailedChecks &failed)
{
    const auto seconds
        = std::chrono::duration_cast<std::chrono::seconds>(this->scheduler.now() - failed.since);
    this->log.warn("member_lost", {{"instance", entry.member.name},
                                   {"silent_s", seconds.count()},
                                   {"failures", failed.count},
                                   {"revision", entry.revision.number}});
    this->counters.add("member_lost");
    const std::string name = entry.member.name;
    this->failing.erase(name);
    this->store.removeMember(name, entry.revision, [this, name](PlatformResult result) {
        this->log.info("member_removed", {{"instance", name}, {"result", toString(result)}});
    });
}

} // namespace bulrushgap::balance

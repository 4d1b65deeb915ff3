#pragma once

#include "base/Counters.h"
#include "base/Scheduler.h"
#include "service/Log.h"
#include "view/Member.h"
#include "view/ObjectSource.h"

#include <functional>
#include <map>
#include <string>

namespace bulrushgap::balance {

/** \brief Registration entry of an instance and its store revision. */
struct MemberEntry
{
    Member member;
    StoreRevision revision;

    friend bool operator==(const MemberEntry &, const MemberEntry &) = default;
};

using MemberEntries = std::map<std::string, MemberEntry, std::less<>>;

struct MemberSweeperHooks
{
    using CheckHandler = std::function<void(bool accepts)>;

    /** Checks whether an instance accepts a connection. */
    std::function<void(Endpoint peer, CheckHandler handler)> checkPeer;

    /** \returns whether this instance reads from the store itself and removes entries. */
    std::function<bool()> isDirect;
};

/** \brief Removes the entries of instances that have failed permanently.
 *
 * Entries in the store do not expire, and a stale entry costs the other instances failed calls and
 * shares of cold budgets. An instance that was only disconnected registers again when it finds its
 * entry missing.
 */
class MemberSweeper
{
public:
    MemberSweeper(const Scheduler &scheduler, MemberStore &store, std::string self,
                  Counters &counters, Log &log, MemberSweeperHooks hooks);

    void start();

    /** \brief Replaces the known entries with those of the store. */
    void update(MemberEntries entries);

private:
    struct FailedChecks
    {
        TimePoint since{};
        unsigned count = 0;
    };

    void sweep();
    [[nodiscard]] const MemberEntry *nextToCheck();
    void onChecked(const MemberEntry &entry, bool accepts);
    void remove(const MemberEntry &entry, const FailedChecks &failed);

    const Scheduler &scheduler;
    MemberStore &store;
    std::string self;
    Counters &counters;
    Log &log;
    MemberSweeperHooks hooks;
    MemberEntries entries;
    std::map<std::string, FailedChecks, std::less<>> failing;
    std::string lastChecked;
    bool checking = false;
    bool checkFailing = false; //!< Alternates: every other check is of a failing instance.
    Scheduler::Timer timer;
};

} // namespace bulrushgap::balance

#pragma once

#include "base/Counters.h"
#include "base/Scheduler.h"
#include "service/Log.h"
#include "view/Member.h"
#include "view/ObjectSource.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace bulrushgap::balance {

/** \brief Entry of an instance at its store revision. */
struct MemberEntry
{
    Member member;
    std::uint64_t revision = 0;

    friend bool operator==(const MemberEntry &, const MemberEntry &) = default;
};

using MemberEntries = std::map<std::string, MemberEntry, std::less<>>;

struct MemberSweeperHooks
{
    using CheckHandler = std::function<void(bool accepts)>;

    /** Tries a connection to an instance. */
    std::function<void(Endpoint peer, CheckHandler handler)> checkPeer;

    /** \returns whether this instance follows the store itself and removes entries. */
    std::function<bool()> isDirect;
};

/** \brief Removes the entries of instances that never come back.
 *
 * Answers machines that are lost for good: nothing in the store expires by itself, and a dead entry
 * costs the others failed calls and shares of cold budgets. An instance that was only cut off
 * enters itself again when it sees that its entry is missing.
 */
class MemberSweeper
{
public:
    MemberSweeper(const Scheduler &scheduler, MemberStore &store, std::string self,
                  Counters &counters, Log &log, MemberSweeperHooks hooks);

    void start();

    /** \brief Replaces the entries as they stand in the store. */
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
    bool checkFailing = false; //!< The next check is one of a failing instance.
    Scheduler::Timer timer;
};

} // namespace bulrushgap::balance

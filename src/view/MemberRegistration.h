#pragma once

#include "base/Scheduler.h"
#include "base/Time.h"
#include "service/Backoff.h"
#include "service/Log.h"
#include "view/Member.h"
#include "view/ObjectSource.h"

#include <cstdint>
#include <optional>

namespace bulrushgap::balance {

/** \brief Registers this instance in the store; retries until the write succeeds. */
class MemberRegistration
{
public:
    MemberRegistration(const Scheduler &scheduler, MemberStore &store, Random &random,
                       Member member, Log &log);

    /** \brief Writes the entry unless a write is in progress, or completed recently in the same
     * era. \param era of the store, as far as known */
    void ensure(std::uint64_t era = 0);

private:
    void create();
    void replace();
    void onWritten(PlatformResult result);

    const Scheduler &scheduler;
    MemberStore &store;
    Member member;
    Log &log;
    Scheduler::Timer timer;
    Backoff backoff;
    bool writing = false;
    std::optional<TimePoint> writtenAt;
    std::uint64_t writtenInEra = 0; //!< Era known at the start of the last write.
};

} // namespace bulrushgap::balance

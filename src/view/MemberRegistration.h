#pragma once

#include "base/Scheduler.h"
#include "base/Time.h"
#include "service/Backoff.h"
#include "service/Log.h"
#include "view/Member.h"
#include "view/ObjectSource.h"

#include <optional>

namespace bulrushgap::balance {

/** \brief Registers this instance in the store; retries until the write succeeds. */
class MemberRegistration
{
public:
    MemberRegistration(const Scheduler &scheduler, MemberStore &store, Random &random,
                       Member member, Log &log);

    /** \brief Writes the entry unless a write is in progress or completed recently. */
    void ensure();

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
};

} // namespace bulrushgap::balance

#include "view/MemberRegistration.h"

#include <utility>

namespace bulrushgap::balance {

namespace internal {

constexpr Duration minRegistrationRetryDelay = std::chrono::milliseconds(500);
constexpr Duration maxRegistrationRetryDelay = std::chrono::seconds(5);

/** Time within which a written entry appears in the instance's own view. */
constexpr Duration entryPropagationTime = std::chrono::seconds(20);

} // namespace internal

MemberRegistration::MemberRegistration(const Scheduler &scheduler, MemberStore &store,
                                       Random &random, Member member, Log &log)
    : scheduler(scheduler)
    , store(store)
    , member(std::move(member))
    , log(log)
    , backoff(internal::minRegistrationRetryDelay, internal::maxRegistrationRetryDelay, random)
{}

void MemberRegistration::ensure(std::uint64_t era)
{
    const TimePoint now = this->scheduler.now();
    // A store that has begun another era may have lost the entry.
    const bool sameEra = era <= this->writtenInEra;
    if (sameEra && this->writtenAt && now - *this->writtenAt < internal::entryPropagationTime)
        return;
    if (std::exchange(this->writing, true))
        return;
    this->writtenInEra = era;
    this->create();
}

void MemberRegistration::create()
{
    this->store.createMember(this->member, [this](PlatformResult result) {
        if (result == PlatformResult::Conflict)
            this->replace();
        else
            this->onWritten(result);
    });
}

void MemberRegistration::replace()
{
    this->store.replaceMember(this->member,
                              [this](PlatformResult result) { this->onWritten(result); });
}

void MemberRegistration::onWritten(PlatformResult result)
{
    this->log.info("registration", {{"result", toString(result)}});
    if (result == PlatformResult::Ok) {
        this->writing = false;
        this->writtenAt = this->scheduler.now();
        this->backoff.reset();
        return;
    }
    this->timer = this->scheduler.after(this->backoff.next(), [this] { this->create(); });
}

} // namespace bulrushgap::balance

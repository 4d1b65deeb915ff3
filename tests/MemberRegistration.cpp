#include "view/MemberRegistration.h"

#include "simulation/EventLoop.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using namespace std::chrono_literals;

namespace {

/** \brief Counts the writes and lets them succeed. */
class CountingStore : public MemberStore
{
public:
    void createMember(const Member & /*member*/, WriteHandler handler) override
    {
        ++this->writes;
        handler(PlatformResult::Ok);
    }
    void replaceMember(const Member & /*member*/, WriteHandler /*handler*/) override {}
    void removeMember(std::string_view /*name*/, StoreRevision /*revision*/,
                      WriteHandler /*handler*/) override
    {}

    int writes = 0;
};

} // namespace

// Guards against an instance that stays unregistered after the store has lost its entry, and
// against writes that repeat until the own entry appears in the view.
TEST_CASE("an entry that is missing in a later era is written again at once",
          "[MemberRegistration]")
{
    struct Case
    {
        Duration after; //!< The entry is missing this long after it was written.
        std::uint64_t era;
        int writes;
    };
    const auto each = GENERATE(values<Case>({{1s, 4, 1}, {1s, 5, 2}, {1s, 3, 1}, {21s, 4, 2}}));
    simulation::EventLoop loop;
    const Scheduler scheduler = loop.scheduler();
    CountingStore store;
    Random random{1};
    Log log{LogOptions{20, {}, [](LogLevel, const std::string &) {
                       }}};
    MemberRegistration registration(scheduler, store, random, Member{"a-1", "a", {1, 1}, 1}, log);
    registration.ensure(4);
    loop.runFor(each.after);
    registration.ensure(each.era);
    registration.ensure(each.era);
    CHECK(store.writes == each.writes);
}

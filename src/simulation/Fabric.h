#pragma once

#include "base/Endpoint.h"
#include "base/KeyedHash.h"
#include "base/Scheduler.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushgap::simulation {

/** \brief The platform's routers: any packet of a flow goes to one of its domain's instances that
 * are in rotation, by a hash of its addresses. */
class Fabric
{
public:
    /** \returns whether the readiness check of instance \a index succeeds now. */
    using ReadyCheck = std::function<bool(std::size_t index)>;

    Fabric(const Scheduler &scheduler, bool steadyHash, ReadyCheck isReady);

    /** \brief Adds instance \a index of a domain; out of rotation until its first check. */
    void add(std::size_t index, const std::string &domain);

    void start() { this->check(); }

    /** \returns the instance that a packet goes to, or nothing if there is none at all. */
    [[nodiscard]] std::optional<std::size_t> route(const std::string &domain, Endpoint caller,
                                                   Endpoint route) const;

private:
    struct Entry
    {
        std::size_t index = 0;
        bool inRotation = false;
        unsigned misses = 0;
    };

    void check();
    [[nodiscard]] std::vector<std::size_t> usable(const std::string &domain) const;

    const Scheduler &scheduler;
    bool steadyHash;
    ReadyCheck isReady;
    KeyedHash hash;
    std::map<std::string, std::vector<Entry>, std::less<>> domains;
    Scheduler::Timer timer;
};

} // namespace bulrushgap::simulation

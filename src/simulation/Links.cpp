#include "simulation/Links.h"

namespace bulrushgap::simulation {

bool Links::isOpen(const Place &from, const Place &to) const
{
    if (this->dark.contains(from.name) || this->dark.contains(to.name))
        return false;
    if (from.role == Place::Role::Caller || to.role == Place::Role::Caller)
        return true;
    if (this->isolated.contains(from.name) || this->isolated.contains(to.name))
        return false;
    const bool toStore = from.role == Place::Role::Store || to.role == Place::Role::Store;
    const bool withoutStore
        = this->withoutStore.contains(from.name) || this->withoutStore.contains(to.name);
    if (toStore && withoutStore)
        return false;
    if (from.domain == to.domain)
        return true;
    return !this->cutDomains.contains(from.domain) && !this->cutDomains.contains(to.domain)
           && !this->oneWay.contains(from.domain);
}

bool Links::passes(const Place &from, const Place &to)
{
    if (!this->isOpen(from, to))
        return false;
    const bool between = from.domain != to.domain && from.role != Place::Role::Caller
                         && to.role != Place::Role::Caller;
    return !between || this->loss <= 0 || !std::bernoulli_distribution(this->loss)(this->random);
}

bool Links::connected(const Place &first, const Place &second) const
{
    return this->isOpen(first, second) && this->isOpen(second, first);
}

Duration Links::delay(const Place &from, const Place &to)
{
    Duration base = this->delays.betweenDomains;
    if (from.role == Place::Role::Caller || to.role == Place::Role::Caller)
        base = this->delays.toCaller;
    else if (from.domain == to.domain)
        base = this->delays.inDomain;
    std::uniform_int_distribution<Duration::rep> jitter(0, base.count() / 10);
    return base + Duration(jitter(this->random));
}

} // namespace bulrushgap::simulation

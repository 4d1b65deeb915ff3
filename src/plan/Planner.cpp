#include "plan/Planner.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <utility>

namespace bulrushgap {

namespace internal {

namespace {

/** \brief Allocates unused ids of one type, never 0. */
template <typename Id>
class IdAllocator
{
public:
    void use(Id id)
    {
        this->used.insert(id.value);
        this->newest = std::max(this->newest, id.value);
    }

    [[nodiscard]] Id next()
    {
        assert(this->used.size() < std::numeric_limits<typename Id::ValueType>::max());
        do
            ++this->newest;
        while (this->newest == 0 || this->used.contains(this->newest));
        this->used.insert(this->newest);
        return Id{this->newest};
    }

private:
    std::set<typename Id::ValueType> used;
    typename Id::ValueType newest = 0;
};

/** \brief Builds one plan; lives for one call of Planner::next(). */
class PlanBuilder
{
public:
    PlanBuilder(const ObjectStoreView &view, const Plan &previous, const PlannerInputs &inputs,
                Counters &counters)
        : view(view)
        , previous(previous)
        , inputs(inputs)
        , counters(counters)
        , viewUsable(inputs.storeWritable && view.listed()
                     && view.revision() >= previous.configVersion)
    {
        for (const PlanService &service : previous.services) {
            this->oldServices.emplace(service.name, &service);
            for (const PlanUpstream &upstream : service.upstreams)
                this->oldUpstreams.emplace(UpstreamKey{service.name, upstream.name}, &upstream);
        }
        for (const UpstreamStatus &status : inputs.health)
            this->statuses.insert_or_assign({status.service, status.upstream}, &status);
    }

    [[nodiscard]] Plan build()
    {
        if (!this->viewUsable && this->inputs.storeWritable)
            this->counters.add("planner_view_behind");
        this->plan.configVersion
            = this->viewUsable ? std::max(this->previous.configVersion, this->view.configVersion())
                               : this->previous.configVersion;
        this->reserveIds();
        this->buildDomains();
        this->buildInstances();
        if (this->viewUsable)
            this->buildServices();
        else
            this->plan.services = this->previous.services;
        this->applyHealth();
        std::ranges::sort(this->plan.domains, {}, &PlanDomain::id);
        std::ranges::sort(this->plan.instances, {}, &PlanInstance::id);
        std::ranges::sort(this->plan.services, {}, &PlanService::id);
        return std::move(this->plan);
    }

private:
    using UpstreamKey = std::pair<std::string_view, std::string_view>;

    void reserveIds()
    {
        for (const PlanDomain &domain : this->previous.domains)
            this->domainIds.use(domain.id);
        for (const PlanInstance &instance : this->previous.instances)
            this->instanceIds.use(instance.id);
        for (const PlanService &service : this->previous.services) {
            this->serviceIds.use(service.id);
            for (const PlanUpstream &upstream : service.upstreams)
                this->upstreamIds.use(upstream.id);
        }
    }

    void buildDomains()
    {
        std::set<std::string> names;
        for (const LiveInstance &instance : this->inputs.instances)
            names.insert(instance.domain);
        for (const PlanInstance &instance : this->previous.instances) {
            if (const PlanDomain *domain = this->previous.domain(instance.domain))
                names.insert(domain->name);
        }
        if (this->viewUsable) {
            for (const DomainObject *domain : this->view.domains())
                names.insert(domain->name);
            for (const UpstreamObject *upstream : this->view.upstreams())
                names.insert(upstream->domain);
        } else {
            for (const PlanDomain &domain : this->previous.domains)
                names.insert(domain.name);
        }
        for (const std::string &name : names)
            this->addDomain(name);
    }

    /** A domain without an object keeps its \c out flag, so deleting the object of a domain that
     * was taken out does not reactivate it. */
    void addDomain(const std::string &name)
    {
        PlanDomain domain;
        domain.name = name;
        const auto old = std::ranges::find(this->previous.domains, name, &PlanDomain::name);
        const bool existed = old != this->previous.domains.end();
        domain.id = existed ? old->id : this->domainIds.next();
        const DomainObject *object = this->viewUsable ? this->view.domain(name) : nullptr;
        if (object != nullptr)
            domain.out = object->out();
        else
            domain.out = existed && old->out;
        this->plan.domains.push_back(std::move(domain));
    }

    [[nodiscard]] const PlanDomain *findDomainByName(std::string_view name) const
    {
        const auto found = std::ranges::find(this->plan.domains, name, &PlanDomain::name);
        return found != this->plan.domains.end() ? &*found : nullptr;
    }

    [[nodiscard]] const PlanDomain *findDomainById(DomainId id) const
    {
        const auto found = std::ranges::find(this->plan.domains, id, &PlanDomain::id);
        return found != this->plan.domains.end() ? &*found : nullptr;
    }

    /** \returns whether the domain may receive new flows and requests. */
    [[nodiscard]] bool usable(const PlanDomain &domain) const
    {
        return !domain.out && this->reachable(domain.name);
    }

    [[nodiscard]] bool reachable(std::string_view name) const
    {
        return std::ranges::find(this->inputs.reachableDomains, name)
               != this->inputs.reachableDomains.end();
    }

    void buildInstances()
    {
        for (const LiveInstance &live : this->inputs.instances)
            this->addInstance(live);
        for (const PlanInstance &old : this->previous.instances) {
            const PlanDomain *domain = this->findDomainById(old.domain);
            const bool unreachable
                = domain != nullptr && !domain->out && !this->reachable(domain->name);
            if (!unreachable || this->plan.instance(old.name) != nullptr)
                continue;
            this->plan.instances.push_back(old);
            this->plan.instances.back().leaving = true;
        }
    }

    void addInstance(const LiveInstance &live)
    {
        if (this->plan.instance(live.name) != nullptr)
            return;
        const PlanDomain *domain = this->findDomainByName(live.domain);
        assert(domain != nullptr);
        const PlanInstance *old = this->previous.instance(live.name);
        PlanInstance instance;
        instance.id = old != nullptr ? old->id : this->instanceIds.next();
        instance.name = live.name;
        instance.domain = domain->id;
        instance.peerAddress = live.peerAddress;
        instance.dataAddress = live.dataAddress;
        instance.bootId = live.bootId;
        instance.leaving = live.leaving || !this->usable(*domain);
        this->plan.instances.push_back(std::move(instance));
    }

    void buildServices()
    {
        std::vector<const ServiceObject *> objects = this->view.services();
        this->dropDuplicates(objects, [&](const ServiceObject &object) {
            const PlanService *old = this->previousService(object.name);
            return old != nullptr && old->address == object.address;
        });
        for (const ServiceObject *object : objects) {
            PlanService service;
            const PlanService *old = this->previousService(object->name);
            service.id = old != nullptr ? old->id : this->serviceIds.next();
            service.name = object->name;
            service.address = object->address;
            this->plan.services.push_back(std::move(service));
        }
        std::set<std::pair<std::string_view, Endpoint>> known;
        for (const auto &[key, old] : this->oldUpstreams)
            known.emplace(old->name, old->address);
        std::vector<const UpstreamObject *> upstreams = this->view.upstreams();
        std::erase_if(upstreams, [](const UpstreamObject *object) { return object->out(); });
        this->dropDuplicates(upstreams, [&](const UpstreamObject &object) {
            return known.contains({object.name, object.address});
        });
        for (const UpstreamObject *upstream : upstreams)
            this->addUpstream(*upstream, objects);
        for (PlanService &service : this->plan.services)
            std::ranges::sort(service.upstreams, {}, &PlanUpstream::id);
    }

    /** \brief Keeps one object per address: a known one, otherwise the first by name. */
    template <typename Object, typename IsKnown>
    void dropDuplicates(std::vector<const Object *> &objects, const IsKnown &isKnown)
    {
        std::stable_partition(objects.begin(), objects.end(),
                              [&](const Object *object) { return isKnown(*object); });
        std::set<Endpoint> addresses;
        std::erase_if(objects, [&](const Object *object) {
            const bool duplicate = !addresses.insert(object->address).second;
            if (duplicate)
                this->counters.add("address_duplicate");
            return duplicate;
        });
    }

    [[nodiscard]] const PlanService *previousService(std::string_view name) const
    {
        const auto found = this->oldServices.find(name);
        return found != this->oldServices.end() ? found->second : nullptr;
    }

    [[nodiscard]] const PlanUpstream *previousUpstream(const PlanService &service,
                                                       std::string_view name) const
    {
        const auto found = this->oldUpstreams.find({service.name, name});
        return found != this->oldUpstreams.end() ? found->second : nullptr;
    }

    void addUpstream(const UpstreamObject &object, std::span<const ServiceObject *const> services)
    {
        assert(services.size() == this->plan.services.size());
        std::size_t matches = 0;
        PlanService *owner = nullptr;
        const PlanUpstream *old = nullptr;
        for (std::size_t i = 0; i < services.size(); ++i) {
            if (!services[i]->selector.matches(object.labels))
                continue;
            ++matches;
            const PlanUpstream *known = this->previousUpstream(this->plan.services[i], object.name);
            if (owner == nullptr || (old == nullptr && known != nullptr)) {
                owner = &this->plan.services[i];
                old = known;
            }
        }
        if (matches > 1)
            this->counters.add("upstream_selected_twice");
        if (owner != nullptr)
            owner->upstreams.push_back(this->upstreamOf(object, old));
    }

    [[nodiscard]] PlanUpstream upstreamOf(const UpstreamObject &object, const PlanUpstream *old)
    {
        const PlanDomain *domain = this->findDomainByName(object.domain);
        assert(domain != nullptr);
        PlanUpstream upstream;
        upstream.id = old != nullptr ? old->id : this->upstreamIds.next();
        upstream.name = object.name;
        upstream.address = object.address;
        upstream.domain = domain->id;
        upstream.slots = object.slots;
        return upstream;
    }

    /** \returns whether an operator or an unusable domain excludes the upstream from new work.
     *
     * Without a usable view, draining in the previous plan continues if the domain was usable then;
     * otherwise the domain caused it, and it ends once the domain is usable again. */
    [[nodiscard]] bool excludedFromNewWork(const PlanUpstream &upstream,
                                           const PlanUpstream *old) const
    {
        const PlanDomain *domain = this->findDomainById(upstream.domain);
        if (domain == nullptr || !this->usable(*domain))
            return true;
        if (!this->viewUsable)
            return old != nullptr && old->state == UpstreamState::Draining
                   && !this->wasUnreachable(*domain);
        const UpstreamObject *object = this->view.upstream(upstream.name);
        const DomainObject *domainObject = this->view.domain(domain->name);
        return (object != nullptr && object->draining())
               || (domainObject != nullptr && domainObject->draining());
    }

    /** \returns whether the previous plan lists all instances of the domain as leaving. */
    [[nodiscard]] bool wasUnreachable(const PlanDomain &domain) const
    {
        return std::ranges::none_of(this->previous.instances, [&](const PlanInstance &instance) {
            return instance.domain == domain.id && !instance.leaving;
        });
    }

    [[nodiscard]] const UpstreamStatus *statusOf(ServiceId service, UpstreamId upstream) const
    {
        const auto found = this->statuses.find({service, upstream});
        return found != this->statuses.end() ? found->second : nullptr;
    }

    void applyHealth()
    {
        for (PlanService &service : this->plan.services) {
            std::size_t ejections = service.upstreams.size() / 3;
            this->assignStates(service, true, ejections);
            this->assignStates(service, false, ejections);
        }
    }

    /** \brief Sets state and weight of the upstreams that were (or were not) ejected before.
     *
     * Previously ejected upstreams are processed first, so that a newly failing one cannot take
     * their place within the ejection limit. */
    void assignStates(PlanService &service, bool wereEjected, std::size_t &ejections)
    {
        for (PlanUpstream &upstream : service.upstreams) {
            const PlanUpstream *old = this->previousUpstream(service, upstream.name);
            const bool wasEjected = old != nullptr && old->state == UpstreamState::Ejected;
            if (wasEjected == wereEjected)
                this->assignState(service, upstream, old, ejections);
        }
    }

    void assignState(const PlanService &service, PlanUpstream &upstream, const PlanUpstream *old,
                     std::size_t &ejections)
    {
        const UpstreamStatus *status = this->statusOf(service.id, upstream.id);
        if (this->excludedFromNewWork(upstream, old)) {
            upstream.state = UpstreamState::Draining;
            upstream.weight = 0;
            return;
        }
        const bool shouldEject = status != nullptr
                                     ? status->ejected
                                     : old != nullptr && old->state == UpstreamState::Ejected;
        if (shouldEject && ejections > 0) {
            --ejections;
            upstream.state = UpstreamState::Ejected;
            upstream.weight = 0;
            return;
        }
        if (shouldEject)
            this->counters.add("ejection_limited");
        upstream.state = UpstreamState::Active;
        upstream.weight = activeWeight(old, shouldEject ? nullptr : status);
    }

    [[nodiscard]] static std::uint8_t activeWeight(const PlanUpstream *old,
                                                   const UpstreamStatus *status)
    {
        const bool returning
            = old == nullptr || old->state != UpstreamState::Active || old->weight == 0;
        if (returning)
            return coldWeight;
        if (status == nullptr)
            return old->weight;
        const int limit = std::min<int>(fullWeight, 2 * old->weight);
        return static_cast<std::uint8_t>(std::clamp<int>(status->warmth, 1, limit));
    }

    const ObjectStoreView &view;
    const Plan &previous;
    const PlannerInputs &inputs;
    Counters &counters;
    bool viewUsable;
    std::map<std::string_view, const PlanService *> oldServices;
    std::map<UpstreamKey, const PlanUpstream *> oldUpstreams;
    std::map<std::pair<ServiceId, UpstreamId>, const UpstreamStatus *> statuses;
    Plan plan;
    IdAllocator<DomainId> domainIds;
    IdAllocator<InstanceId> instanceIds;
    IdAllocator<ServiceId> serviceIds;
    IdAllocator<UpstreamId> upstreamIds;
};

/** \brief Replaces health-dependent weights and states by fixed values. */
Plan withoutHealth(Plan plan)
{
    for (PlanService &service : plan.services) {
        for (PlanUpstream &upstream : service.upstreams) {
            upstream.weight = fullWeight;
            if (upstream.state == UpstreamState::Ejected)
                upstream.state = UpstreamState::Active;
        }
    }
    return plan;
}

} // namespace

} // namespace internal

Plan Planner::next(const ObjectStoreView &view, const Plan &previous,
                   const PlannerInputs &inputs) const
{
    Plan plan = internal::PlanBuilder(view, previous, inputs, this->counters).build();
    if (plan.configVersion < previous.configVersion) {
        this->counters.add("invariant_config_reverted");
        return previous;
    }
    if (!differs(plan, previous))
        return previous;
    plan.id = previous.id;
    plan.id.writer = inputs.writer;
    return plan;
}

bool differs(const Plan &left, const Plan &right)
{
    return left.configVersion != right.configVersion || left.domains != right.domains
           || left.instances != right.instances || left.services != right.services;
}

bool differsBeyondHealth(const Plan &left, const Plan &right)
{
    return differs(internal::withoutHealth(left), internal::withoutHealth(right));
}

} // namespace bulrushgap

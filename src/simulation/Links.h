#pragma once

#include "base/Time.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace bulrushgap::simulation {

/** \brief Where something runs. */
struct Place
{
    enum class Role { Caller, Instance, Upstream, Store };

    Role role = Role::Caller;
    std::string domain; //!< Empty for the store.
    std::string name;

    friend auto operator<=>(const Place &, const Place &) = default;
};

/** \brief Delays of the sites: one way, within and between failure domains, and to callers. */
struct LinkDelays
{
    Duration inDomain = std::chrono::microseconds(200);
    Duration betweenDomains = std::chrono::microseconds(500);
    Duration toCaller = std::chrono::milliseconds(3);
};

/** \brief Which places reach each other, with what delay and loss. */
class Links
{
public:
    Links(LinkDelays delays, Random &random)
        : delays(delays)
        , random(random)
    {}

    /** \brief Partitions a failure domain from the others and the store; callers still reach it. */
    void cutDomain(const std::string &domain, bool cut) { set(this->cutDomains, domain, cut); }

    /** \brief Nothing gets out of a failure domain but to callers. */
    void cutOneWay(const std::string &domain, bool cut) { set(this->oneWay, domain, cut); }

    /** \brief Partitions a place from all but callers. */
    void isolate(const std::string &name, bool cut) { set(this->isolated, name, cut); }

    /** \brief Partitions a place from the store. */
    void cutFromStore(const std::string &name, bool cut) { set(this->withoutStore, name, cut); }

    /** \brief Nothing reaches a place, and nothing gets out: it has no power. */
    void darken(const std::string &name, bool dark) { set(this->dark, name, dark); }

    /** \brief Share of packets between failure domains that are lost. */
    void setLoss(double share) { this->loss = share; }

    [[nodiscard]] bool isDark(const std::string &name) const { return this->dark.contains(name); }

    /** \returns whether a message from one place reaches the other now; draws the losses. */
    [[nodiscard]] bool passes(const Place &from, const Place &to);

    /** \returns whether the two reach each other both ways, losses apart. */
    [[nodiscard]] bool connected(const Place &first, const Place &second) const;

    [[nodiscard]] Duration delay(const Place &from, const Place &to);

private:
    using Names = std::set<std::string, std::less<>>;

    static void set(Names &names, const std::string &name, bool member)
    {
        if (member)
            names.insert(name);
        else
            names.erase(name);
    }

    [[nodiscard]] bool isOpen(const Place &from, const Place &to) const;

    LinkDelays delays;
    Random &random;
    Names cutDomains;
    Names oneWay;
    Names isolated;
    Names withoutStore;
    Names dark;
    double loss = 0.0;
};

} // namespace bulrushgap::simulation

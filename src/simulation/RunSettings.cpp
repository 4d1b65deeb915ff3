#include "simulation/RunSettings.h"

namespace bulrushgap::simulation {

std::vector<LinkCapacity> RunSettings::linksOfDomain() const
{
    std::vector<LinkCapacity> links;
    for (const InstanceLinks &alike : this->instanceLinks)
        links.insert(links.end(), alike.instances, alike.capacity);
    links.resize(this->instancesPerDomain);
    return links;
}

RunSettings sampleRun()
{
    using std::chrono::milliseconds;
    RunSettings run;
    run.domains = {"pattani", "yala", "narathiwat"};
    run.services = {{"dispatch", 5, 2, 0.0}, {"gallery", 2, 2, 0.0}};
    const Endpoint feed = *Endpoint::parse("198.18.0.1:8443");
    const Endpoint booking = *Endpoint::parse("198.18.0.1:8080");
    const Endpoint sheet = *Endpoint::parse("198.18.0.2:8443");
    run.classes = {
        {"feed", feed, "dispatch", balance::RequestKind::Idempotent, true, 40.0, milliseconds(22),
         0, 4'000, milliseconds(120), milliseconds(800), 2},
        {"booking", booking, "dispatch", balance::RequestKind::RunAtMostOnce, false, 12.0,
         milliseconds(29), 900, 600, milliseconds(150), milliseconds(1'000), 2},
        {"sheet", sheet, "gallery", balance::RequestKind::Idempotent, false, 4.0, milliseconds(5),
         0, 80'000, milliseconds(500), milliseconds(3'000), 2},
    };
    return run;
}

} // namespace bulrushgap::simulation

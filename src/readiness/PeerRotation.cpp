#include "readiness/PeerRotation.h"

#include "base/KeyedHash.h"

#include <algorithm>

namespace bulrushgap::balance {

namespace internal {

constexpr std::uint64_t rotationKey = 0x726f'7461'7465'0001;

} // namespace internal

PeerRotation::PeerRotation(const Member &self)
    : domain(self.domain)
    , offset(KeyedHash(internal::rotationKey)(std::string_view(self.name)) >> 32)
{}

bool PeerRotation::hasPeer(std::span<const Member> instances) const
{
    return std::ranges::any_of(
        instances, [this](const Member &member) { return member.domain != this->domain; });
}

std::vector<Endpoint> PeerRotation::next(std::span<const Member> instances, std::size_t perDomain)
{
    std::map<std::string_view, std::vector<Endpoint>> byDomain;
    for (const Member &member : instances) {
        if (member.domain != this->domain)
            byDomain[member.domain].push_back(member.peer);
    }
    std::vector<Endpoint> selected;
    for (const auto &[name, peers] : byDomain) {
        const std::size_t count = std::min(perDomain, peers.size());
        for (std::size_t i = 0; i < count; ++i)
            selected.push_back(peers[(this->offset + i) % peers.size()]);
    }
    this->offset += perDomain;
    return selected;
}

} // namespace bulrushgap::balance

#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace bulrushgap::balance {

enum class UpstreamState { Ready, Draining };

/** \brief What an upstream says of itself in the platform's registry. */
struct UpstreamEntry
{
    std::string name;         //!< Unique among upstreams; a restart may keep it.
    std::uint64_t wireId = 0; //!< Addresses this upstream in datagrams, whoever has its address.
    Endpoint address;
    std::string service;
    std::string domain;
    UpstreamState state = UpstreamState::Ready;
    unsigned slots = 1;   //!< Requests that it runs at the same time.
    Duration slowStart{}; //!< How much longer it is cold, seen from when it wrote the entry.
    std::int64_t startedAtMs = 0; //!< Unix time of its start; differs after a restart.

    friend bool operator==(const UpstreamEntry &, const UpstreamEntry &) = default;
};

} // namespace bulrushgap::balance

#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace bulrushgap::balance {

enum class UpstreamState { Ready, Draining };

/** \brief Entry of an upstream in the platform's registry, written by the upstream. */
struct UpstreamEntry
{
    std::string name; //!< Unique among upstreams; a restart may keep it.
    std::uint64_t wireId
        = 0; //!< Identifies this upstream in datagrams, even if its address was reused.
    Endpoint address;
    std::string service;
    std::string domain;
    UpstreamState state = UpstreamState::Ready;
    unsigned slots = 1;           //!< Maximum number of concurrent requests.
    Duration slowStart{};         //!< Remaining cold time when the entry was written.
    std::int64_t startedAtMs = 0; //!< Unix time of its start; differs after a restart.

    friend bool operator==(const UpstreamEntry &, const UpstreamEntry &) = default;
};

} // namespace bulrushgap::balance

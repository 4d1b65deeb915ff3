#pragma once

#include "view/ViewObject.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace bulrushgap::balance {

/** \brief A read of another instance's view. */
struct ViewRequest
{
    ViewKind kind = ViewKind::Upstreams;
    std::optional<StoreRevision> since; //!< For a watch: waits for changes after this revision.

    /** Longest wait for a change, or for a list until the other instance has read its view. */
    std::chrono::milliseconds wait{0};

    bool direct = false; //!< Only an instance that reads from the store itself may answer.

    bool acceptsCompressed = true; //!< Earlier versions of the program can't read such a reply.

    friend bool operator==(const ViewRequest &, const ViewRequest &) = default;
};

} // namespace bulrushgap::balance

#pragma once

#include "base/Endpoint.h"

#include <compare>
#include <optional>
#include <string>

namespace bulrushgap::balance {

/** \brief A source of the view: the store, or another instance and what is required of it. */
struct ViewSource
{
    std::optional<Endpoint> peer; //!< Empty for the store.
    bool direct = false;          //!< The other instance must read from the store itself.

    /** A list may be answered late, once the other instance has read its view. */
    bool mayWait = false;

    /** Only a view that the store has confirmed later than the reader's counts as an answer: this
     * source may read from the reader itself. */
    bool mustBeNewer = false;

    [[nodiscard]] bool isStore() const { return !this->peer.has_value(); }
    [[nodiscard]] std::string toString() const
    {
        return this->peer ? this->peer->toString() : "store";
    }

    friend auto operator<=>(const ViewSource &, const ViewSource &) = default;
};

} // namespace bulrushgap::balance

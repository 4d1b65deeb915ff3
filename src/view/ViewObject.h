#pragma once

#include "directory/Configuration.h"
#include "directory/UpstreamEntry.h"
#include "store/ObjectWatch.h"
#include "view/Member.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace bulrushgap::balance {

/** \brief The sets of objects that make up an instance's view of the deployment. */
enum class ViewKind : std::uint8_t {
    Upstreams,      //!< Upstreams, as UpstreamEntry.
    Configurations, //!< The operators' configuration, one object.
    Evacuations,    //!< Failure domains that receive no new flows, by name.
    Members,        //!< Instances, as Member.
};

constexpr std::size_t viewKindCount = 4;

[[nodiscard]] std::string_view toString(ViewKind kind);

/** \brief Excludes the failure domain that the object's key names from new flows. */
struct Evacuation
{
    friend bool operator==(const Evacuation &, const Evacuation &) = default;
};

/** \brief An object that could not be decoded, and why; others write to the store as well. Its key
 * is empty if its name is unreadable. */
struct MalformedObject
{
    std::string member;   //!< JSON member that is missing, has the wrong type or can't be parsed.
    std::string expected; //!< For a member that can't be parsed, with the reason of the parser.

    friend bool operator==(const MalformedObject &, const MalformedObject &) = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

using ViewObject
    = std::variant<MalformedObject, UpstreamEntry, ConfigurationPtr, Evacuation, Member>;

using ViewItem = BasicStoredObject<ViewObject>;
using ViewList = BasicListOutcome<ViewObject>;
using ViewEvent = BasicWatchEvent<ViewObject>;
using ViewEvents = BasicWatchOutcome<ViewObject>;
using ViewUpdate = BasicWatchUpdate<ViewObject>;
using ViewStore = BasicWatchableStore<ViewKind, ViewObject>;
using ViewWatch = BasicObjectWatch<ViewKind, ViewObject>;

} // namespace bulrushgap::balance

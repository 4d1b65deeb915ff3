#pragma once

#include "base/Counters.h"
#include "service/Log.h"
#include "view/ViewObject.h"

#include <array>
#include <map>
#include <set>
#include <string>

namespace bulrushgap::balance {

/** \brief Counts and logs the malformed objects of a view, each revision of an object once. */
class MalformedObjects
{
public:
    MalformedObjects(Counters &counters, Log &log)
        : counters(counters)
        , log(log)
    {}

    /** \brief Reports the malformed objects of \a update that have not been reported yet. */
    void report(ViewKind kind, const ViewUpdate &update);

private:
    /** Reported revisions by the object's name; several only of objects without a readable name. */
    using Revisions = std::map<std::string, std::set<StoreRevision>>;

    void report(ViewKind kind, const ViewEvent &event, const MalformedObject &object);

    Counters &counters;
    Log &log;
    std::array<Revisions, viewKindCount> reported;
};

} // namespace bulrushgap::balance

#pragma once

#include "support/Observations.h"

#include <catch2/catch.hpp>

namespace bulrushgap::test {

/** \brief Checks that no invariant was violated. */
inline void checkViolations(const Violations &violations)
{
    CHECK(violations.movedFlows == 0);
    CHECK(violations.crossedServices == 0);
    CHECK(violations.coldOverload == 0);
    CHECK(violations.slotsExceeded == 0);
    CHECK(violations.packetsToOutDomain == 0);
    CHECK(violations.wrongAnswers == 0);
    CHECK(violations.falseNotRun == 0);
    CHECK(violations.doubleRuns == 0);
    CHECK(violations.workWhileDraining == 0);
    CHECK(violations.revertedPlans == 0);
}

} // namespace bulrushgap::test

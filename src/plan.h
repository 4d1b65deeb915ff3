#pragma once

/** \file
 * \brief Module plan: plans, configuration objects, selectors and the planner. No I/O.
 */
#include "plan/Plan.h"
#include "plan/PlanId.h"

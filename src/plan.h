#pragma once

/** \file
 * \brief Module plan: plans, configuration objects, selectors and the planner. No I/O.
 */
#include "plan/DomainObject.h"
#include "plan/InstanceObject.h"
#include "plan/Labels.h"
#include "plan/ObjectFault.h"
#include "plan/ObjectStoreView.h"
#include "plan/Plan.h"
#include "plan/PlanId.h"
#include "plan/PlanJson.h"
#include "plan/PlanPacer.h"
#include "plan/PlanWriter.h"
#include "plan/Planner.h"
#include "plan/PlannerElection.h"
#include "plan/Selector.h"
#include "plan/ServiceObject.h"
#include "plan/UpstreamObject.h"

#pragma once

/** \file
 * \brief Module flow: assigns flows to upstreams and coordinates the transition between plans. No
 * I/O.
 */
#include "flow/BucketTable.h"
#include "flow/FlowDecision.h"
#include "flow/FlowHash.h"
#include "flow/FlowRouter.h"
#include "flow/FlowStore.h"
#include "flow/FlowTable.h"
#include "flow/Transition.h"
#include "flow/UpstreamAvailabilityTable.h"

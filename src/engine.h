#pragma once

/** \file
 * \brief Module engine: all decisions of one instance. Takes packets, messages and the current time
 * and returns actions. No I/O.
 */
#include "engine/Action.h"
#include "engine/ControlPath.h"
#include "engine/FlowPath.h"
#include "engine/InstanceEngine.h"
#include "engine/PendingRequests.h"
#include "engine/RelayFilter.h"
#include "engine/RequestPath.h"

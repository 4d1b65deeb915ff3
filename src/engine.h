#pragma once

/** \file
 * \brief Module engine: all decisions of one instance. Packets, messages and time go in, actions
 * come out. No I/O.
 */
#include "engine/Action.h"
#include "engine/ControlPath.h"
#include "engine/FlowPath.h"
#include "engine/InstanceEngine.h"
#include "engine/PendingRequests.h"
#include "engine/RelayGuard.h"
#include "engine/RequestPath.h"

#pragma once

/** \file
 * \brief Module role: processes of instances, with sockets, timers and signals around the engine.
 */
#include "role/ActionRunner.h"
#include "role/DataSocket.h"
#include "role/ExplainEndpoint.h"
#include "role/InstanceRegistration.h"
#include "role/InstanceRole.h"
#include "role/ObjectFeed.h"
#include "role/PlanStore.h"

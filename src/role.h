#pragma once

/** \file
 * \brief Module role: the process of an instance; sockets, timers and signals round the engine.
 */
#include "role/ActionRunner.h"
#include "role/DataSocket.h"
#include "role/InstanceRegistration.h"
#include "role/InstanceRole.h"
#include "role/ObjectFeed.h"
#include "role/PlanStore.h"

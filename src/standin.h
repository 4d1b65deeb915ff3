#pragma once

/** \file
 * \brief Module standin: stand-ins of the systems around the instances, for demo and tests.
 */
#include "standin/CallerStandin.h"
#include "standin/FabricStandin.h"
#include "standin/ObjectTable.h"
#include "standin/PlatformStandin.h"
#include "standin/UpstreamHost.h"

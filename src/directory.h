#pragma once

/** \file
 * \brief Module directory: upstreams, routes and evacuated domains as known to an instance.
 */
#include "directory/Configuration.h"
#include "directory/RouteTable.h"
#include "directory/Upstream.h"
#include "directory/UpstreamDirectory.h"
#include "directory/UpstreamEntry.h"

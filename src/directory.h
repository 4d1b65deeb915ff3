#pragma once

/** \file
 * \brief Module directory: upstreams, routes and operators' orders as an instance knows them.
 */
#include "directory/Configuration.h"
#include "directory/RouteTable.h"
#include "directory/Upstream.h"
#include "directory/UpstreamDirectory.h"
#include "directory/UpstreamEntry.h"

#pragma once

/** \file
 * \brief Module reachability: which failure domains this instance can reach, and whether any.
 */
#include "reachability/DomainProbes.h"
#include "reachability/DomainReachability.h"
#include "reachability/InstanceConnectivity.h"

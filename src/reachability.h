#pragma once

/** \file
 * \brief Module reachability: which failure domains this instance can reach.
 */
#include "reachability/DomainProbes.h"
#include "reachability/DomainReachability.h"

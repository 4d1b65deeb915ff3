#pragma once

/** \file
 * \brief Module readiness: whether the instances of a failure domain leave rotation together.
 */
#include "readiness/DomainReadiness.h"
#include "readiness/DomainUpstreams.h"
#include "readiness/PeerRotation.h"

#pragma once

/** \file
 * \brief Module health: failure detection from answers that are due and from probes.
 */
#include "health/FailureDetector.h"
#include "health/UpstreamHealth.h"

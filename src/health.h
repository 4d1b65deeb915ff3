#pragma once

/** \file
 * \brief Module health: failure detection from overdue answers and probes.
 */
#include "health/FailureDetector.h"
#include "health/UpstreamHealth.h"

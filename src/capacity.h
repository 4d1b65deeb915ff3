#pragma once

/** \file
 * \brief Module capacity: speed of each upstream relative to its service, learned from its answer
 * times.
 */
#include "capacity/CapacityEstimate.h"
#include "capacity/CapacityLearner.h"
#include "capacity/UsualTime.h"

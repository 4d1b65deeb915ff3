#pragma once

/** \file
 * \brief Module capacity: how much of its slots an upstream uses well, learned from its answers.
 */
#include "capacity/CapacityEstimate.h"
#include "capacity/CapacityLearner.h"
#include "capacity/UsualTime.h"

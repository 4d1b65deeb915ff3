#pragma once

/** \file
 * \brief Module placement: selection of the upstream for a new flow.
 */
#include "placement/Placement.h"
#include "placement/PlacementChoice.h"
#include "placement/PlacementExplanation.h"

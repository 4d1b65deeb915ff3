#pragma once

/** \file
 * \brief Module placement: the choice of an upstream for a new flow.
 */
#include "placement/Placement.h"

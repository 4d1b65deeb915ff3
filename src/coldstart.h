#pragma once

/** \file
 * \brief Module coldstart: limits the combined rate of all instances to cold upstreams.
 */
#include "coldstart/ColdReturn.h"
#include "coldstart/ColdStartBudget.h"
#include "coldstart/ColdStartPolicy.h"

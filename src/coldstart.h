#pragma once

/** \file
 * \brief Module coldstart: the rate that cold upstreams get from all instances together.
 */
#include "coldstart/ColdStartBudget.h"
#include "coldstart/ColdStartPolicy.h"

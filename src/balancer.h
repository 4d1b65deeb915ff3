#pragma once

/** \file
 * \brief Module balancer: one instance on the platform without its I/O.
 */
#include "balancer/Balancer.h"
#include "balancer/BalancerOptions.h"
#include "balancer/InstanceExplanation.h"

#pragma once

/** \file
 * \brief Module ejection: which upstreams new flows avoid because their requests fail. Performs no
 * I/O.
 */
#include "ejection/EjectionChange.h"
#include "ejection/EjectionLimit.h"
#include "ejection/EjectionMark.h"
#include "ejection/EjectionPolicy.h"
#include "ejection/OutcomeWindow.h"

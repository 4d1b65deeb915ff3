#pragma once

/** \file
 * \brief Module base: ids, time, endpoints, verdicts, counters and hashing. No I/O.
 */
#include "base/Counters.h"
#include "base/Endpoint.h"
#include "base/Ids.h"
#include "base/KeyedHash.h"
#include "base/Reasons.h"
#include "base/Time.h"
#include "base/Verdict.h"

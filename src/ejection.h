#pragma once

/** \file
 * \brief Module ejection: which upstreams new flows avoid because their requests fail. Performs no
 * I/O.
 */
#include "ejection/EjectionChange.h"
#include "ejection/EjectionLimit.h"
#include "ejection/EjectionMark.h"
#include "ejection/EjectionPolicy.h"
#include "ejection/OutcomeCodec.h"
#include "ejection/OutcomeParent.h"
#include "ejection/OutcomeReaders.h"
#include "ejection/OutcomeReport.h"
#include "ejection/OutcomeSharing.h"
#include "ejection/OutcomeWindow.h"
#include "ejection/PendingReports.h"

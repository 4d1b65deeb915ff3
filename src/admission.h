#pragma once

/** \file
 * \brief Module admission: which request goes to which upstream, when, and how often. No I/O.
 */
#include "admission/AdmissionController.h"
#include "admission/AdmissionEvent.h"
#include "admission/AdmissionRequest.h"
#include "admission/AdmissionSettings.h"
#include "admission/ColdStartRamp.h"
#include "admission/DeadlineQueue.h"
#include "admission/LatencyEstimate.h"
#include "admission/OutlierDetector.h"
#include "admission/OwnerTable.h"
#include "admission/PeerSlots.h"
#include "admission/RetryBudget.h"
#include "admission/UpstreamLimiter.h"

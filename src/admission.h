#pragma once

/** \file
 * \brief Module admission: decides to which upstream a request is sent, when, and how often it is
 * retried. Performs no I/O.
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

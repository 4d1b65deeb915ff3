#pragma once

/** \file
 * \brief Module steering: the forwarding decision for each packet of a caller.
 */
#include "steering/CallerAttempts.h"
#include "steering/FlowExplanation.h"
#include "steering/FlowNames.h"
#include "steering/FlowObserver.h"
#include "steering/FlowPacket.h"
#include "steering/FlowTracker.h"
#include "steering/LateRequests.h"
#include "steering/PacketSteering.h"
#include "steering/SequenceNumber.h"
#include "steering/SteeringDecision.h"

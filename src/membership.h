#pragma once

/** \file
 * \brief Module membership: liveness of peers, reach of failure domains, own pauses. No I/O.
 */
#include "membership/DomainGate.h"
#include "membership/PauseDetector.h"
#include "membership/PeerTable.h"

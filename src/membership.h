#pragma once

/** \file
 * \brief Module membership: liveness of peers, reachability of domains, pause detection. No I/O.
 */
#include "membership/DomainGate.h"
#include "membership/PauseDetector.h"
#include "membership/PeerTable.h"

#pragma once

/** \file
 * \brief Module packet: parsed packets as the core sees them, independent of the wire format.
 */
#include "packet/FlowHash.h"
#include "packet/Packet.h"

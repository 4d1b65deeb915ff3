#pragma once

/** \file
 * \brief Module packet: parsed packets, independent of the wire format.
 */
#include "packet/FlowHash.h"
#include "packet/Packet.h"

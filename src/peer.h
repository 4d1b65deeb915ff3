#pragma once

/** \file
 * \brief Module peer: encoding, framing and connections of messages between instances.
 */
#include "peer/ByteBudget.h"
#include "peer/MessageCodec.h"
#include "peer/PeerLink.h"
#include "peer/PeerMesh.h"
#include "peer/RelayCodec.h"

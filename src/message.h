#pragma once

/** \file
 * \brief Module message: value types of the messages between instances. Module peer encodes them.
 */
#include "message/PeerMessage.h"
#include "message/RelayHeader.h"

#pragma once

/** \file
 * \brief Module message: messages between instances as values; module peer encodes them.
 */
#include "message/PeerMessage.h"
#include "message/RelayHeader.h"

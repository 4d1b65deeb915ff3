#pragma once

/** \file
 * \brief Module wire: encodes and decodes PROXY protocol headers and CoAP messages. No I/O.
 */
#include "wire/Bytes.h"
#include "wire/CoapBuilder.h"
#include "wire/CoapCodec.h"
#include "wire/CoapMessage.h"
#include "wire/CoapParser.h"
#include "wire/CoapWriter.h"
#include "wire/ProxyHeader.h"

#pragma once

/** \file
 * \brief Module store: client of the platform's object API.
 */
#include "store/CallResult.h"
#include "store/ObjectStore.h"
#include "store/ObjectWatch.h"
#include "store/PlatformClient.h"
#include "store/TolerantParse.h"

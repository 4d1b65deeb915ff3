#pragma once

/** \file
 * \brief Module platform: client of the platform's object API.
 */
#include "platform/ObjectStore.h"
#include "platform/ObjectWatch.h"
#include "platform/PlatformClient.h"

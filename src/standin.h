#pragma once

/** \file
 * \brief Module standin: stand-ins of outside systems for demo and tests.
 */
#include "standin/ObjectTable.h"
#include "standin/PlatformStandin.h"

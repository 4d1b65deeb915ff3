#pragma once

/** \file
 * \brief Module outcome: how requests end, inferred from the packets of their callers.
 */
#include "outcome/AnswerSizes.h"
#include "outcome/RequestOutcome.h"

#pragma once

/** \file
 * \brief Module request: tickets, the ledger for at-most-once execution, and multi-part answers.
 * Performs no I/O.
 */
#include "request/AnswerParts.h"
#include "request/RequestLedger.h"
#include "request/Ticket.h"
#include "request/TicketIssuer.h"

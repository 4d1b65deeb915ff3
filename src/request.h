#pragma once

/** \file
 * \brief Module request: tickets, the at-most-once ledger and multi-part answers. No I/O.
 */
#include "request/AnswerParts.h"
#include "request/RequestLedger.h"
#include "request/Ticket.h"
#include "request/TicketIssuer.h"

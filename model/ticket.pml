/* One request that must not be repeated, with a ticket. Its copies are duplicated and delayed, arrive
 * at the issuer or at another instance, and the issuer may restart.
 *
 * Properties: the request runs at most once; an answer "not run" is true, also later.
 * Mutations that must fail: NO_BOOT_CHECK, SHORT_RECORDS, NO_REFUSAL_RECORD, NO_RECORD.
 */
#define COPIES 3

mtype = {None, Dispatched, Refused, Answered};

byte issuerBoot = 1;      /* TicketIssuer: boot of the issuer, raised by a restart. */
bool issuerAlive = true;
mtype record = None;      /* RequestLedger entry, lost with the issuer's memory. */
bool expired = false;     /* The ticket's validity has passed. */
byte runs = 0;
bool saidNotRun = false;

chan toIssuer = [COPIES] of {byte};  /* Copies with the boot that the relay header names. */
chan toOther = [COPIES] of {byte};   /* Copies that the fabric delivered to another instance. */
chan toUpstream = [COPIES] of {byte};
chan toDispatcher = [COPIES] of {byte};

inline execute()
{
    runs++;
    assert(runs <= 1);
    assert(!saidNotRun)
}

inline sayNotRun()
{
    saidNotRun = true;
    assert(runs == 0 && len(toUpstream) == 0)
}

/* The caller repeats the request with its ticket; the network duplicates and delays copies. */
active proctype caller()
{
    byte sent = 0;
    do
    :: sent < COPIES -> sent++;
       if
       :: toIssuer!1
       :: toOther!1
       fi
    :: sent < COPIES -> sent++ /* Lost. */
    :: sent == COPIES -> break
    od
}

/* Another instance: RequestRouter relays a copy to the issuer or answers "may have run". */
active proctype other()
{
    byte boot;
end:
    do
    :: toOther?boot ->
       if
       :: issuerAlive -> toIssuer!boot
       :: !issuerAlive -> skip /* Verdict::MayHaveRun is always true. */
       fi
    od
}

active proctype issuer()
{
    byte boot;
end:
    do
    :: atomic { issuerAlive && len(toIssuer) > 0 ->
       toIssuer?boot;
       if
#ifndef NO_BOOT_CHECK
       :: boot != issuerBoot -> skip /* TicketIssuer::check: another boot, MayHaveRun. */
       :: boot == issuerBoot && record != None -> skip /* RequestLedger::find: recorded answer. */
       :: boot == issuerBoot && record == None ->
#else
       :: record != None -> skip
       :: record == None ->
#endif
          if
          :: expired -> sayNotRun() /* RequestLedger: records outlive tickets. */
          :: !expired -> /* AdmissionController::admit. */
             if
             :: toUpstream!1;
#ifndef NO_RECORD
                record = Dispatched
#endif
             :: /* Queue full or deadline. */
#ifndef NO_REFUSAL_RECORD
                record = Refused;
#endif
                sayNotRun()
             fi
          fi
       fi }
    :: atomic { issuerAlive && len(toDispatcher) > 0 ->
       toDispatcher?boot;
       if
       :: boot == issuerBoot -> record = Answered
       :: else -> skip /* DispatchId::bootTag of an earlier boot. */
       fi }
    od
}

active proctype upstream()
{
    byte copy;
end:
    do
    :: atomic { toUpstream?copy -> execute(); toDispatcher!copy }
    od
}

/* The issuer crashes and starts again with an empty ledger and a new boot id. */
active proctype restart()
{
    if
    :: atomic { issuerAlive = false; record = None };
       atomic { issuerAlive = true; issuerBoot++ }
    :: skip
    fi
}

/* Time: the ticket expires, and only then the record is dropped (RequestLedger::expire). */
active proctype clock()
{
#ifdef SHORT_RECORDS
    record = None;
#endif
    expired = true
}

/* Transition from plan 1 to plan 2 of one moved bucket: plan 1 places it on upstream 1, which drains,
 * plan 2 on upstream 2. Two flows; their packets may reach any instance. One instance may die, or
 * be paused, be taken as dead and resume. peerTimeout is one judgement shared by all instances.
 *
 * Properties: a flow keeps its upstream, unless the only instance that knew it died; once plan 2 is
 * in force, the draining upstream gets no new flow.
 * Mutations that must fail: NO_BARRIER, NO_DIGEST, NO_STALE_CHECK, NO_TAKEOVER_HOLD.
 */
#define N 3
#define FLOWS 2
#ifndef PACKETS
#define PACKETS 3
#endif
#define OLD 1
#define NEW 2

byte state[N];       /* 0: plan 1 in force, 1: preparing, 2: plan 2 in force. */
bool up[N];          /* The process runs; false while paused or dead. */
bool gone[N];        /* Taken as dead (PeerTable::takeDeadPeers). */
bool dead[N];
bool stale[N];       /* PauseDetector::stale. */
byte table[6];       /* FlowTable: upstream of flow f on instance i at i * FLOWS + f, 0: unknown. */
byte placed[FLOWS];  /* Upstream that the flow has in fact; 0: not yet opened. */
bool excused[FLOWS]; /* The only instance that knew the flow died. */
byte arbiter = 0;
bool prepared[N];    /* Prepared messages at the present arbiter. */
byte collected[FLOWS];
bool hold = false;   /* The arbiter took over and has not heard every instance. */
bool closed = false; /* The arbiter has sent its union. */
bool deathLeft = true;
bool pauseLeft = true;

/* One fault per run: a death or a pause. With TWO_FAULTS, both in one run. */
#ifdef TWO_FAULTS
#define spendDeath deathLeft = false
#define spendPause pauseLeft = false
#else
#define spendDeath deathLeft = false; pauseLeft = false
#define spendPause deathLeft = false; pauseLeft = false
#endif

/* Digest and Prepared to the arbiter: arbiter that it is for, two flows, sender has the union. */
chan digest0 = [2] of {byte, byte, byte, bool};
chan digest1 = [2] of {byte, byte, byte, bool};
chan digest2 = [2] of {byte, byte, byte, bool};
chan digests[N];
chan unions[N];
chan union0 = [2] of {byte, byte};
chan union1 = [2] of {byte, byte};
chan union2 = [2] of {byte, byte};

#define known(i, f) table[(i) * FLOWS + (f)]
#define done(i) (state[i] == 2 || gone[i] || !up[i] || stale[i])
#define everywhere (done(0) && done(1) && done(2))
#define ready(i) (prepared[i] || gone[i])

/* The packet reaches the upstream. */
inline deliver(f, upstream)
{
    if
    :: placed[f] == 0 ->
       assert(!(upstream == OLD && everywhere));
       placed[f] = upstream
    :: else -> assert(placed[f] == upstream || excused[f])
    fi
}

/* Transition::decide at the arbiter. Until every digest is there, unknown flows belong to the old
 * upstream; after a takeover they wait, since the last arbiter may have sent a union. */
inline decide(f)
{
    if
    :: known(arbiter, f) != 0 -> deliver(f, known(arbiter, f))
    :: known(arbiter, f) == 0 && collected[f] != 0 -> deliver(f, collected[f])
    :: known(arbiter, f) == 0 && collected[f] == 0 && closed && !hold ->
       deliver(f, NEW);
       known(arbiter, f) = NEW
#ifndef NO_TAKEOVER_HOLD
    :: known(arbiter, f) == 0 && collected[f] == 0 && hold -> skip
    :: known(arbiter, f) == 0 && collected[f] == 0 && !closed && !hold ->
#else
    :: known(arbiter, f) == 0 && collected[f] == 0 && (!closed || hold) ->
#endif
       deliver(f, OLD);
       known(arbiter, f) = OLD;
       collected[f] = OLD
    fi
}

/* FlowRouter::route of a packet at instance i. */
inline route(i, f)
{
    if
    :: stale[i] || (known(i, f) == 0 && state[i] == 1) ->
       if
       :: up[arbiter] && !stale[arbiter] -> decide(f)
       :: else -> skip /* Lost; the caller sends again. */
       fi
    :: !stale[i] && known(i, f) != 0 -> deliver(f, known(i, f))
    :: !stale[i] && known(i, f) == 0 && state[i] == 0 ->
       deliver(f, OLD);
       known(i, f) = OLD
    :: !stale[i] && known(i, f) == 0 && state[i] == 2 ->
       deliver(f, NEW);
       known(i, f) = NEW
    fi
}

/* Transition::prepare: digest, then Prepared, on one ordered link. */
inline sendDigest(i)
{
    if
#ifdef NO_DIGEST
    :: len(digests[i]) < 2 -> digests[i]!arbiter, 0, 0, state[i] == 2
#else
    :: len(digests[i]) < 2 -> digests[i]!arbiter, known(i, 0), known(i, 1), state[i] == 2
#endif
    :: len(digests[i]) == 2 -> skip
    fi
}

/* Transition::onUnion: what the arbiter knows wins over an own record of a flow that it lacks. */
inline takeUnion(i, first, second)
{
    if
    :: first != 0 -> known(i, 0) = first
    :: else -> skip
    fi;
    if
    :: second != 0 -> known(i, 1) = second
    :: else -> skip
    fi;
    state[i] = 2
}

/* A flow that only instance i knew, as recorded or as collected digests, is lost with it. */
inline excuse(i, f)
{
    if
    :: (known(i, f) != 0 || i == arbiter) && (i == arbiter || collected[f] == 0) &&
       (i == 0 || gone[0] || known(0, f) == 0) && (i == 1 || gone[1] || known(1, f) == 0) &&
       (i == 2 || gone[2] || known(2, f) == 0) -> excused[f] = true
    :: else -> skip
    fi
}

/* PeerTable::takeDeadPeers, then Transition::onDeath: the next in rendezvous order takes over, and
 * the others send it their digests again. */
inline takeAsDead(i)
{
    excuse(i, 0);
    excuse(i, 1);
    gone[i] = true;
    prepared[i] = false;
    if
    :: i == arbiter ->
       arbiter = (!gone[0] -> 0 : (!gone[1] -> 1 : 2));
       prepared[0] = false;
       prepared[1] = false;
       prepared[2] = false;
       collected[0] = 0;
       collected[1] = 0;
       hold = true;
       closed = (state[arbiter] == 2);
       resend(0);
       resend(1);
       resend(2)
    :: else -> skip
    fi
}

inline resend(i)
{
    if
    :: !gone[i] && up[i] && state[i] != 0 -> sendDigest(i)
    :: else -> skip
    fi
}

inline collect(f, upstream)
{
    if
    :: upstream != 0 && collected[f] == 0 -> collected[f] = upstream
    :: else -> skip
    fi
}

/* Transition::onDigest and onPrepared at the arbiter. */
inline receiveDigest(i)
{
    digests[i]?target, first, second, flag;
    if
    :: target == arbiter && !gone[i] ->
       collect(0, first);
       collect(1, second);
       prepared[i] = true;
       if
       :: flag -> closed = true
       :: else -> skip
       fi;
       if
       :: closed && !hold && len(unions[i]) < 2 -> unions[i]!collected[0], collected[1]
       :: else -> skip
       fi
    :: else -> skip
    fi
}

inline sendUnion(i)
{
    if
    :: !gone[i] && len(unions[i]) < 2 -> unions[i]!collected[0], collected[1]
    :: else -> skip
    fi
}

/* Transition::finish at the arbiter: all live instances are prepared. */
inline finish()
{
    collect(0, known(arbiter, 0));
    collect(1, known(arbiter, 1));
    closed = true;
    hold = false;
    sendUnion(0);
    sendUnion(1);
    sendUnion(2)
}

proctype instance(byte i)
{
    byte first;
    byte second;
    byte target;
    bool flag;
end:
    do
    :: atomic { up[i] && !stale[i] && state[i] == 0 -> /* PlanPush. */
       state[i] = 1;
       sendDigest(i) }
    :: atomic { up[i] && arbiter == i && len(digests[0]) > 0 -> receiveDigest(0) }
    :: atomic { up[i] && arbiter == i && len(digests[1]) > 0 -> receiveDigest(1) }
    :: atomic { up[i] && arbiter == i && len(digests[2]) > 0 -> receiveDigest(2) }
#ifdef NO_BARRIER
    :: atomic { up[i] && arbiter == i && state[i] != 0 && (!closed || hold) -> finish() }
#else
    :: atomic { up[i] && arbiter == i && state[i] != 0 && (!closed || hold) &&
                ready(0) && ready(1) && ready(2) -> finish() }
#endif
    :: atomic { up[i] && !stale[i] && len(unions[i]) > 0 ->
       unions[i]?first, second;
       takeUnion(i, first, second) }
    :: atomic { stale[i] && up[i] && arbiter != i -> /* PauseDetector::onPlanIdReceived. */
       stale[i] = false;
       gone[i] = false;
       state[i] = 1;
       sendDigest(i) }
    od
}

/* Callers and the fabric: any packet to any running instance. */
proctype fabric()
{
    byte packets = 0;
    byte f;
    do
    :: packets < PACKETS ->
       atomic {
          if
          :: f = 0
          :: f = 1
          fi;
          if
          :: up[0] -> route(0, f)
          :: up[1] -> route(1, f)
          :: up[2] -> route(2, f)
          :: !up[0] && !up[1] && !up[2] -> skip
          fi;
          packets++
       }
    :: packets == PACKETS -> break
    od
}

/* Deaths and pauses; an instance without messages for peerTimeout is taken as dead. */
proctype faults()
{
    byte i = 0;
end:
    do
    :: i = 0
    :: i = 1
    :: i = 2
    :: atomic { deathLeft && up[i] && !gone[i] -> spendDeath; up[i] = false; dead[i] = true }
    :: atomic { pauseLeft && up[i] && !gone[i] -> spendPause; up[i] = false }
    :: atomic { !up[i] && !gone[i] -> takeAsDead(i) }
    :: atomic { !up[i] && !dead[i] -> up[i] = true; /* PauseDetector::tick. */
#ifdef NO_STALE_CHECK
       gone[i] = false
#else
       stale[i] = gone[i]
#endif
       }
    od
}

init
{
    atomic {
        digests[0] = digest0;
        digests[1] = digest1;
        digests[2] = digest2;
        unions[0] = union0;
        unions[1] = union1;
        unions[2] = union2;
        up[0] = true;
        up[1] = true;
        up[2] = true;
        run instance(0);
        run instance(1);
        run instance(2);
        run fabric();
        run faults()
    }
}

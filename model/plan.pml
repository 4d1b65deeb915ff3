/* The plan object under conditional updates by two planners, of which either may be paused at any
 * step; answers are lost after the update took effect, and the store has outages.
 *
 * Properties: the configuration in the store never reverts; the plan ids that an instance adopts
 * only rise and their configuration never reverts; a plan whose update took effect is never taken as
 * failed.
 * Mutations that must fail: NO_FENCING, OVERLAY_CONFIG, NO_READ_BACK, NO_VIEW_CHECK.
 */
#define WRITERS 2
#define STEPS 3

byte operatorVersion = 0;  /* Newest operators' object. */
byte storeVersion = 0;     /* Version of plan/SCOPE. */
byte storeConfig = 0;      /* Its configVersion. */
byte storeWriteId = 0;
bool outage = false;

byte seenVersion = 0;      /* What an observing instance has adopted: id and configuration. */
byte seenOverlay = 0;
byte seenConfig = 0;

/* PlanWriter::advanceTo on every instance: only greater ids are adopted. */
inline adopt(version, overlay, config)
{
    if
    :: version > seenVersion || (version == seenVersion && overlay > seenOverlay) ->
       assert(config >= seenConfig);
       seenVersion = version;
       seenOverlay = overlay;
       seenConfig = config
    :: else -> skip
    fi
}

proctype writer(byte self)
{
    byte steps = 0;
    byte baseVersion = 0;  /* PlanWriter::base. */
    byte baseConfig = 0;
    byte overlay = 0;
    byte view = 0;         /* ObjectStoreView::revision. */
    byte config;
    byte writeId;
    bool applied;
    do
    :: steps < STEPS ->
       steps++;
       applied = false;
       /* ObjectStoreView::apply: a watch may lag behind. */
       if
       :: !outage -> view = operatorVersion
       :: skip
       fi;
       /* Planner::next: a view that is behind the previous plan contributes nothing. */
#ifdef NO_VIEW_CHECK
       config = view;
#else
       config = (view >= baseConfig -> view : baseConfig);
#endif
       writeId = self * 16 + steps;
       if
       :: atomic { !outage -> /* PlanWriter::write arrives at the store, maybe after a pause. */
          if
#ifdef NO_FENCING
          :: true ->
#else
          :: storeVersion == baseVersion ->
#endif
             assert(config >= storeConfig);
             storeVersion++;
             storeConfig = config;
             storeWriteId = writeId;
             applied = true
#ifndef NO_FENCING
          :: storeVersion != baseVersion -> skip
#endif
          fi };
          if
          :: skip /* WriteResult::Ok or Conflict. */
          :: atomic { /* WriteResult::LostAnswer. */
#ifdef NO_READ_BACK
             assert(!applied); /* The update is taken as failed. */
#endif
             skip }
          fi;
          /* PlanWriter::onReadResult: adopts what the store holds; waits while it is down. */
          atomic { !outage;
             baseVersion = storeVersion;
             baseConfig = storeConfig;
             overlay = 0;
             assert(!(applied && storeVersion == 0));
             adopt(baseVersion, 0, baseConfig) }
       :: atomic { outage -> /* PlanWriter::publishOverlay. */
          overlay++;
#ifdef OVERLAY_CONFIG
          baseConfig = config;
#endif
          adopt(baseVersion, overlay, baseConfig) }
       fi
    :: steps == STEPS -> break
    od
}

proctype operators()
{
    operatorVersion++;
    operatorVersion++
}

/* The store fails and returns, also between an update and its read back. */
proctype store()
{
    outage = true;
    outage = false;
    outage = true;
    outage = false
}

init
{
    atomic {
        run writer(1);
        run writer(2);
        run operators();
        run store()
    }
}

/* A job that must not run twice, and two failure domains that hand it over when
   they are taken out. Each domain's leader may crash at any point; its successor
   knows what was kept in a second place. Messages and answers may be lost, late
   and delivered any number of times: once sent they stay deliverable.

   Properties: the job is started at most once; it is never lost, that is, the
   domain with the newest generation has it unless it gave it up.

   Mutants remove one guard each:
     MUTANT_KEPT    a handover is sent before the giver's right to start is given up for good
     MUTANT_AGAIN   a repeated handover releases a task that a new leader withholds
     MUTANT_LATE    a late answer ends the job whatever its generation */

#define DOMAINS 2
#define GENERATIONS 6
#define TURNS 7          /* changes of the domains' states */
#define CRASHES 5

/* Kept in a second place, for each domain. */
byte kept_generation[DOMAINS];   /* zero if the job was never there */
bit kept_moved[DOMAINS];
bit kept_ended[DOMAINS];
bit kept_intent[DOMAINS];

/* What the leader of each domain believes. */
byte generation[DOMAINS];
bit has[DOMAINS];
bit moved[DOMAINS];
bit withheld[DOMAINS];

bit is_in[DOMAINS];
bit sent[GENERATIONS + 1];
bit answered[GENERATIONS + 1];
byte starts;
byte turns;
byte crashes;

#define OTHER(d) (1 - (d))
/* Handovers of even generations go to domain 1, of odd ones to domain 0. */
#define TARGET(g) (((g) % 2) == 0 -> 1 : 0)

#ifdef MUTANT_KEPT
#define MAY_SEND(d) true
#else
#define MAY_SEND(d) kept_moved[d]
#endif

#ifdef MUTANT_AGAIN
#define REPEATED(g) withheld[TARGET(g)] = 0; kept_intent[TARGET(g)] = 0
#else
#define REPEATED(g) skip
#endif

#ifdef MUTANT_LATE
#define IS_OWN(g) (kept_generation[OTHER(TARGET(g))] >= g - 1)
#else
#define IS_OWN(g) (generation[OTHER(TARGET(g))] == g - 1 && moved[OTHER(TARGET(g))])
#endif

inline start(d) {
    atomic {
        has[d] && !moved[d] && !withheld[d] && !kept_intent[d] && !kept_ended[d] && is_in[d] ->
        kept_intent[d] = 1;
        starts++;
        assert(starts <= 1)
    }
}

inline give_up(d) {
    atomic {
        has[d] && !moved[d] && !withheld[d] && !kept_intent[d] && !is_in[d] && generation[d] < GENERATIONS ->
        moved[d] = 1
    }
}

inline keep(d) {
    atomic { moved[d] && !kept_moved[d] && kept_generation[d] == generation[d] -> kept_moved[d] = 1 }
}

inline send(d) {
    atomic {
        moved[d] && has[d] && !sent[generation[d] + 1] && MAY_SEND(d) -> sent[generation[d] + 1] = 1
    }
}

inline take(g) {
    atomic {
        sent[g] ->
        if
        :: kept_generation[TARGET(g)] < g ->
            kept_generation[TARGET(g)] = g;
            kept_moved[TARGET(g)] = 0;
            kept_ended[TARGET(g)] = 0;
            /* Not yet loaded: a crash now leaves it to the successor. */
            generation[TARGET(g)] = g;
            has[TARGET(g)] = 1;
            moved[TARGET(g)] = 0;
            withheld[TARGET(g)] = 0
        :: else ->
            REPEATED(g)
        fi;
        answered[g] = 1
    }
}

inline take_answer(g) {
    atomic {
        answered[g] ->
        if
        :: IS_OWN(g) ->
            has[OTHER(TARGET(g))] = 0;
            kept_ended[OTHER(TARGET(g))] = 1;
            assert(kept_generation[OTHER(TARGET(g))] < kept_generation[TARGET(g)])
        :: else
        fi
    }
}

inline crash(d) {
    atomic {
        crashes < CRASHES ->
        crashes++;
        generation[d] = kept_generation[d];
        has[d] = (kept_generation[d] > 0 && !kept_ended[d] -> 1 : 0);
        moved[d] = kept_moved[d];
        withheld[d] = 1
    }
}

/* A successor that read the journal: without an intent the task may start. */
inline release(d) {
    atomic {
        withheld[d] && has[d] && !moved[d] ->
        if
        :: kept_intent[d] -> has[d] = 0; kept_ended[d] = 1
        :: else -> withheld[d] = 0
        fi
    }
}

inline turn(d) {
    atomic { turns < TURNS -> turns++; is_in[d] = 1 - is_in[d] }
}

proctype leader(byte d) {
    do
    :: start(d)
    :: give_up(d)
    :: keep(d)
    :: send(d)
    :: crash(d)
    :: release(d)
    :: turn(d)
    od
}

proctype network(byte g) {
    do
    :: take(g)
    :: take_answer(g)
    od
}

init {
    atomic {
        kept_generation[0] = 1;
        generation[0] = 1;
        has[0] = 1;
        is_in[0] = 1;
        is_in[1] = 1;
        run leader(0);
        run leader(1);
        run network(2);
        run network(3);
        run network(4);
        run network(5);
        run network(6)
    }
}

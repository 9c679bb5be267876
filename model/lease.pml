/* Two would-be leaders, two workers with epoch leases, one team with a ceiling.

   A leader acquires workers with an epoch of its own making; a worker obeys the
   highest epoch. Commands travel and may be late: they carry the epoch with
   which they were sent. A leader may pause at any point, which the interleaving
   covers. Each worker holds at most SIZE tasks of the team; the ceiling is
   LIMIT. Tasks are anonymous but for task 0, which must not run twice at once.

   Properties (checked by assertions after each start):
     no overcommit, ceiling, no task in two places, non-repeatable at most once.

   Mutants remove one guard each:
     MUTANT_UNHELD     workers that are not held are charged nothing
     MUTANT_BELIEVED   a hold believed in when x was taken counts as confirmed
     MUTANT_EPOCH      workers obey commands with a lower epoch
     MUTANT_WITHHELD   inherited tasks start before all workers are seen
     MUTANT_INVENTORY  a start whose answer was lost counts as not running */

#define LEADERS 2
#define WORKERS 2
#define SIZE 1
/* With a limit of one no task could run twice: this mutant needs room for two. */
#ifdef MUTANT_WITHHELD
#define LIMIT 2
#else
#define LIMIT 1
#endif
#define MAX_EPOCH 5

byte worker_epoch[WORKERS];
byte worker_holder[WORKERS];
byte running[WORKERS];          /* tasks of the team on each worker */
bit task0_on[WORKERS];          /* task 0 runs there */
byte task0_starts;              /* it is not repeatable */
byte next_epoch = 1;

/* What each leader believes: two-dimensional, [leader * WORKERS + worker]. */
#define AT(l, w) ((l) * WORKERS + (w))
bit holds[LEADERS * WORKERS];
byte epoch[LEADERS * WORKERS];
byte known[LEADERS * WORKERS];
byte began[LEADERS * WORKERS];      /* logical time at which the hold began */
byte confirmed[LEADERS * WORKERS];  /* logical time of the newest confirmed renewal */
bit seen[LEADERS * WORKERS];        /* the inventory was read */
byte now = 1;
bit task0_found[LEADERS];           /* task 0 was found on a worker */
byte intent0;                       /* leader whose intent to start task 0 is kept by all, plus one */

/* One late start for each leader: worker plus one, epoch, whether task 0. */
byte late_worker[LEADERS];
byte late_epoch[LEADERS];
bit late_is0[LEADERS];

inline check_all() {
    assert(running[0] <= SIZE && running[1] <= SIZE);
    assert(running[0] + running[1] <= LIMIT);
    assert(!(task0_on[0] && task0_on[1]));
    assert(task0_starts <= 1);
}

inline acquire(l, w) {
    atomic {
        next_epoch < MAX_EPOCH && now < 10 ->
        worker_epoch[w] = next_epoch;
        worker_holder[w] = l;
        epoch[AT(l, w)] = next_epoch;
        next_epoch++;
        holds[AT(l, w)] = 1;
        known[AT(l, w)] = running[w];
        seen[AT(l, w)] = 1;
        if
        :: task0_on[w] -> task0_found[l] = 1
        :: else
        fi;
        now++;
        began[AT(l, w)] = now;
        confirmed[AT(l, w)] = now;
        late_worker[l] = 0   /* an acquisition fences this leader's own late start there */
    }
}

/* A start under way counts as running until an inventory under a newer epoch says otherwise. */
#ifdef MUTANT_INVENTORY
#define IN_FLIGHT(l, w) 0
#else
#define IN_FLIGHT(l, w) (late_worker[l] == (w) + 1 -> 1 : 0)
#endif

inline renew(l, w) {
    atomic {
        holds[AT(l, w)] && now < 10 ->
        if
        :: worker_epoch[w] == epoch[AT(l, w)] ->
            now++;
            confirmed[AT(l, w)] = now;
            known[AT(l, w)] = running[w] + IN_FLIGHT(l, w)
        :: else ->
            holds[AT(l, w)] = 0
        fi
    }
}

/* Charge for the other worker, as seen before a start on x. */
#ifdef MUTANT_UNHELD
#define CHARGE(l, w, x) (holds[AT(l, w)] -> known[AT(l, w)] : 0)
#else
#ifdef MUTANT_BELIEVED
#define CHARGE(l, w, x) (holds[AT(l, w)] -> known[AT(l, w)] : SIZE)
#else
#define CHARGE(l, w, x) (confirmed[AT(l, w)] > began[AT(l, x)] -> known[AT(l, w)] : SIZE)
#endif
#endif

/* The leader decides; the command may arrive at once, late, or never. */
inline send_start(l, x, is0) {
    atomic {
        (holds[AT(l, x)] && late_worker[l] == 0 && known[AT(l, x)] < SIZE) ->
        (known[AT(l, x)] + CHARGE(l, (1 - x), x) + 1 <= LIMIT) ->
#ifndef MUTANT_INVENTORY
        known[AT(l, x)]++;
#endif
        late_worker[l] = x + 1;
        late_epoch[l] = epoch[AT(l, x)];
        late_is0[l] = is0
    }
}

inline arrive(l) {
    atomic {
        late_worker[l] > 0 ->
        if
#ifdef MUTANT_EPOCH
        :: running[late_worker[l] - 1] < SIZE ->
#else
        :: late_epoch[l] == worker_epoch[late_worker[l] - 1] && running[late_worker[l] - 1] < SIZE ->
#endif
            running[late_worker[l] - 1]++;
            if
            :: late_is0[l] -> task0_on[late_worker[l] - 1] = 1; task0_starts++
            :: else
            fi
        :: else
        fi;
        late_worker[l] = 0;
        check_all()
    }
}

#ifdef MUTANT_WITHHELD
#define MAY_START0(l) (!task0_found[l] && intent0 != l + 1)
#else
#define MAY_START0(l) (seen[AT(l, 0)] && seen[AT(l, 1)] && !task0_found[l] && intent0 == 0)
#endif

active [LEADERS] proctype leader() {
    byte l = _pid;
    do
    :: acquire(l, 0)
    :: acquire(l, 1)
    :: renew(l, 0)
    :: renew(l, 1)
    :: send_start(l, 0, 0)
    :: send_start(l, 1, 0)
    :: atomic { MAY_START0(l) && late_worker[l] == 0 && holds[AT(l, 0)] -> intent0 = l + 1 };
       if
       :: send_start(l, 0, 1)
       :: skip
       fi
    :: atomic { MAY_START0(l) && late_worker[l] == 0 && holds[AT(l, 1)] -> intent0 = l + 1 };
       if
       :: send_start(l, 1, 1)
       :: skip
       fi
    :: arrive(l)
    :: atomic { now >= 10 -> break }
    od
}

/* The leaders of a fleet whose platform keeps a log, two workers and one task.

   A claim is the first append of a term; the log refuses appends of earlier terms, so a
   claimant that has read its own claim knows every run that was meant. A leader that does
   not know that it was replaced goes on between any two of its steps. A run's number and
   worker go into the log, then the start is sent. An order is carried out and answered, or
   carried out without an answer, or lost, or carried out once at any later time.

   A worker keeps the highest token that it saw, takes no run that is not higher than one
   that ended or was stopped there, and forgets all this when it restarts under its name.
   Worker 0 alone restarts, carries out orders late and has runs that fail; a leader learns
   of a restart by a look, by the registration, or late.

   Time is abstract. A leader that concludes that a worker's lease has lapsed does so after
   the latest expiry that an order to that boot can carry: what ran there was ended, and
   orders sent until then are refused as late by that boot. A new leader also counts what
   earlier leaders may have extended (fresh), which ends some time after their last append.
   An expiry that an order for another boot carries means nothing to a worker whose clock
   started anew: it takes the longest lease, which no leader counts (wild).

   Properties: the task never runs twice at the same time; no start after an end that was
   "done" and that is acknowledged then or later, unless the lease lapsed between the two; a
   failed run is counted at most once.

   Mutants remove one guard each:
     MUTANT_TOKEN      workers carry out orders with a lower token
     MUTANT_INTENT     a start is sent before the log has the intent
     MUTANT_BOOT       orders name the worker, and not its boot
     MUTANT_DROP       all runs of a worker count as lost at a new boot, listed or not
     MUTANT_STOP       a start without an answer that is not listed is lost without a stop
     MUTANT_INHERITED  runs of earlier leaders are lost while these may extend leases
     MUTANT_LAPSE      a run is lost although its lease may be alive
     MUTANT_ACK        ends are acknowledged before the log has them
     MUTANT_RECHECK    a start leaves although the leader's appends are old
     MUTANT_COUNT      an end counts each time that it is listed

   Where orders cannot name the boot, another rule holds instead of the stop: a start whose
   answer did not come, or that an earlier leader may have sent, is lost only after the
   longest time that an order takes, and a lapse only the longest lease after that. What is
   assumed then: whoever restarts breaks its connections, so that the next look is a first
   one, and a look that is carried out late acknowledges nothing.

     VARIANT_UNSURE    orders name the worker, and not its boot
     MUTANT_DELAY      the same, without that wait
     MUTANT_NUMBER     the same, and a late look acknowledges ends of a boot by their number

   Bounds other than two reigns and two runs:

     VARIANT_RUNS      one reign, three runs and three boots */

#if defined(VARIANT_RUNS) || defined(MUTANT_NUMBER)
#define MAX_TERM 1
#define MAX_RUN 3
#endif
#ifdef VARIANT_RUNS
#define MAX_BOOT 3
#endif

#define LEADERS 2
#define WORKERS 2
#ifndef MAX_TERM
#define MAX_TERM 2
#endif
#ifndef MAX_RUN
#define MAX_RUN 2
#endif
#ifndef MAX_BOOT
#define MAX_BOOT 2
#endif

/* Stages of the leader's latest run. */
#define NONE 0
#define KEPT 1       /* the log has it, or its append is under way */
#define UNRESOLVED 2
#define INHERITED 3
#define RUNNING 4

#define DONE 1
#define FAILED 2

#if defined(MUTANT_DELAY) || defined(MUTANT_NUMBER)
#define VARIANT_UNSURE
#endif
#if defined(MUTANT_BOOT) || defined(VARIANT_UNSURE)
#define FOR_BOOT(b, w) true
#else
#define FOR_BOOT(b, w) ((b) == boot[w])
#endif
#ifdef MUTANT_TOKEN
#define TOKEN_FITS(t, w) true
#else
#define TOKEN_FITS(t, w) ((t) >= seen_token[w])
#endif

/* Workers. */
byte boot[WORKERS] = 1;
byte seen_token[WORKERS];
byte run_on[WORKERS];       /* number of the run there */
byte closed[WORKERS];       /* highest run that ended or was stopped */
bit wild[WORKERS];          /* the lease ends later than any leader counts */
byte end_number[WORKERS];   /* ends in this boot */
byte end_run[WORKERS];      /* the end that is not acknowledged */
byte end_how[WORKERS];
bit end_excused[WORKERS];   /* the lease lapsed since */
bit end_passed[WORKERS];    /* the task was started since */

/* The log. */
byte log_term;
byte log_run;
byte log_worker;            /* of that run, plus one; zero once it is surely gone */
byte log_ended;             /* latest run whose end counts */
bit log_done;
byte log_failed;            /* runs whose failure counts, one bit each */

bit done_noted;             /* a good end was acknowledged */

/* Leaders. */
#define AT(l, w) ((l) * WORKERS + (w))
byte term[LEADERS];
bit fresh[LEADERS];         /* its latest append is young enough for starts and leases */
byte stage[LEADERS];
byte latest[LEADERS];      /* its latest run */
byte on[LEADERS];
byte ended[LEADERS];
bit done[LEADERS];
bit dirty[LEADERS];         /* the log lacks something */
bit stopped[LEADERS];       /* the worker answered a stop of the run */
byte known_boot[LEADERS * WORKERS];
bit held[LEADERS * WORKERS];
byte ends_seen[LEADERS * WORKERS];
byte ends_kept[LEADERS * WORKERS];
byte counted[LEADERS];      /* run whose failure the next append counts */

bit broken[LEADERS];        /* the worker restarted since it last answered */

/* One start and one look that are carried out later. */
byte late_run; byte late_boot; byte late_token; bit late_expired;
byte look_boot; byte look_token; byte look_kept; bit look_expired; bit look_late;

inline begin_run(w, r, b) {
    run_on[w] = r;
    if
    :: b != boot[w] -> wild[w] = 1
    :: else
    fi;
    assert(run_on[0] == 0 || run_on[1] == 0);
    assert(!done_noted);
    end_passed[0] = (end_run[0] != 0);
    end_passed[1] = (end_run[1] != 0)
}

/* A worker carries out a start: "answer" tells what it says. */
#define STARTED 1
#define FENCED 2
#define REFUSED 3
#define OTHER_BOOT 4
inline carry_start(w, r, b, t, is_expired) {
    if
    :: !FOR_BOOT(b, w) -> answer = OTHER_BOOT
    :: FOR_BOOT(b, w) && !TOKEN_FITS(t, w) -> answer = FENCED
    :: FOR_BOOT(b, w) && TOKEN_FITS(t, w) ->
        seen_token[w] = (t > seen_token[w] -> t : seen_token[w]);
        if
        :: r <= closed[w] || (is_expired && b == boot[w]) -> answer = REFUSED
        :: else ->
            answer = STARTED;
            if
            :: run_on[w] == r
            :: run_on[w] != r ->
                assert(run_on[w] == 0);
                begin_run(w, r, b)
            fi
        fi
    fi
}

inline carry_ack(w, number) {
    if
    :: end_run[w] != 0 && number >= end_number[w] ->
        if
        :: end_how[w] == DONE && !end_excused[w] ->
            assert(!end_passed[w]);
            done_noted = 1
        :: else
        fi;
        end_run[w] = 0; end_how[w] = 0; end_excused[w] = 0; end_passed[w] = 0
    :: else
    fi
}

/* A worker carries out a look: the lease of what runs there is extended, or not. */
inline carry_look(w, b, t, number, extends) {
    seen_token[w] = (t > seen_token[w] -> t : seen_token[w]);
    carry_ack(w, number);
    if
    :: extends && b != boot[w] && run_on[w] != 0 -> wild[w] = 1
    :: else
    fi
}

#define LOOK_FITS(b, w, t) ((FOR_BOOT(b, w) || (b) == 0) && TOKEN_FITS(t, w))

inline lose(l) {
    stage[l] = NONE;
    on[l] = 0;
    stopped[l] = 0;
    dirty[l] = 1
}

/* Nothing that was sent to worker w is under way, and no earlier leader sends more. */
#if defined(VARIANT_UNSURE) && !defined(MUTANT_DELAY)
inline settle(l, w) {
    if
    :: w == 0 -> late_run = 0; late_boot = 0; late_token = 0; late_expired = 0
    :: else
    fi;
    if
    :: stage[l] == INHERITED && term[1 - l] < term[l] -> fresh[1 - l] = 0
    :: else
    fi
}
#else
inline settle(l, w) {
    skip
}
#endif

inline resign(l) {
    term[l] = 0; fresh[l] = 0; stage[l] = NONE; latest[l] = 0; on[l] = 0; ended[l] = 0;
    done[l] = 0; dirty[l] = 0; stopped[l] = 0; counted[l] = 0;
    held[AT(l, 0)] = 0; held[AT(l, 1)] = 0; broken[l] = 0;
    ends_seen[AT(l, 0)] = 0; ends_seen[AT(l, 1)] = 0;
    ends_kept[AT(l, 0)] = 0; ends_kept[AT(l, 1)] = 0;
    known_boot[AT(l, 0)] = 0; known_boot[AT(l, 1)] = 0
}

/* The log takes the claim, and the claimant reads up to it. */
inline claim(l) {
    atomic {
        term[l] == 0 && log_term < MAX_TERM && log_term % LEADERS == l ->
        log_term++;
        term[l] = log_term;
        fresh[l] = 1;
        latest[l] = log_run;
        ended[l] = log_ended;
        done[l] = log_done;
        if
        :: log_worker != 0 && !log_done ->
            stage[l] = INHERITED;
            on[l] = log_worker - 1;
            ended[l] = log_run - 1
        :: else -> ended[l] = log_run
        fi;
        /* Registrations may be late. */
        known_boot[AT(l, 1)] = boot[1];
        if
        :: known_boot[AT(l, 0)] = boot[0]
        :: boot[0] > 1 -> known_boot[AT(l, 0)] = boot[0] - 1
        fi
    }
}

/* A new boot is known; which of the runs are gone is not. */
inline new_boot(l, w) {
    known_boot[AT(l, w)] = boot[w];
    held[AT(l, w)] = 0;
    ends_seen[AT(l, w)] = 0;
    ends_kept[AT(l, w)] = 0;
    if
#ifdef MUTANT_DROP
    :: stage[l] != NONE && on[l] == w -> lose(l)
#else
    /* Nothing was sent. */
    :: stage[l] == KEPT && on[l] == w -> lose(l)
#endif
    :: else
    fi
}

inline registered(l) {
    atomic {
        term[l] != 0 && known_boot[AT(l, 0)] < boot[0] -> new_boot(l, 0)
    }
}

/* Progress goes to the log, and the leader learns that it did, or that it is fenced. */
inline append(l) {
    atomic {
        term[l] != 0 && dirty[l] ->
        if
        :: term[l] != log_term -> resign(l)
        :: else -> put(l)
        fi
    }
}

inline put(l) {
    log_run = latest[l];
    log_worker = (stage[l] == NONE -> 0 : on[l] + 1);
    log_done = done[l];
    log_ended = ended[l];
    if
    :: counted[l] != 0 ->
        assert((log_failed & (1 << counted[l])) == 0);
        log_failed = log_failed | (1 << counted[l]);
        counted[l] = 0
    :: else
    fi;
    dirty[l] = 0
}

inline keep_ends(l) {
    atomic {
        term[l] != 0 && !dirty[l] &&
            (ends_kept[AT(l, 0)] < ends_seen[AT(l, 0)] || ends_kept[AT(l, 1)] < ends_seen[AT(l, 1)]) ->
        ends_kept[AT(l, 0)] = ends_seen[AT(l, 0)];
        ends_kept[AT(l, 1)] = ends_seen[AT(l, 1)]
    }
}

inline intend(l) {
    atomic {
        term[l] != 0 && stage[l] == NONE && !done[l] && latest[l] < MAX_RUN && (held[AT(l, 0)] || held[AT(l, 1)]) ->
        latest[l]++;
        if
        :: held[AT(l, 0)] -> on[l] = 0
        :: held[AT(l, 1)] -> on[l] = 1
        fi;
        stage[l] = KEPT;
        stopped[l] = 0;
#ifdef MUTANT_INTENT
        dirty[l] = 1
#else
        if
        :: term[l] != log_term -> resign(l)
        :: else -> put(l)
        fi
#endif
    }
}

#ifdef MUTANT_RECHECK
#define MAY_LEAVE(l) true
#else
#define MAY_LEAVE(l) fresh[l]
#endif

inline send_start(l) {
    atomic {
        term[l] != 0 && stage[l] == KEPT ->
        if
        :: !MAY_LEAVE(l) -> lose(l)
        :: MAY_LEAVE(l) ->
            carry_start(on[l], latest[l], known_boot[AT(l, on[l])], term[l], 0);
            if
            :: answer == STARTED -> stage[l] = RUNNING
            :: answer == FENCED -> resign(l)
            :: answer == REFUSED || answer == OTHER_BOOT -> lose(l)
            :: stage[l] = UNRESOLVED     /* carried out or refused, no answer */
            fi
        :: MAY_LEAVE(l) -> lose(l)       /* surely not sent, or nothing done */
        :: MAY_LEAVE(l) -> stage[l] = UNRESOLVED
        :: MAY_LEAVE(l) && late_run == 0 && on[l] == 0 ->
            stage[l] = UNRESOLVED;
            late_run = latest[l];
            late_boot = known_boot[AT(l, on[l])];
            late_token = term[l];
            late_expired = 0
        fi;
        answer = 0
    }
}

inline late_start() {
    atomic {
        late_run != 0 ->
        carry_start(0, late_run, late_boot, late_token, late_expired);
        answer = 0;
        late_run = 0; late_boot = 0; late_token = 0; late_expired = 0
    }
}

/* What a list of the worker's present boot says of the latest run. */
inline conclude(l, w) {
    held[AT(l, w)] = 1;
    if
    :: end_run[w] != 0 && end_number[w] > ends_seen[AT(l, w)] ->
        ends_seen[AT(l, w)] = end_number[w];
#ifdef MUTANT_ACK
        ends_kept[AT(l, w)] = end_number[w];
#endif
        if
#ifdef MUTANT_COUNT
        :: end_run[w] == latest[l] && !done[l] ->
#else
        :: end_run[w] == latest[l] && ended[l] < latest[l] && !done[l] ->
#endif
            ended[l] = latest[l];
            dirty[l] = 1;
            if
            :: end_how[w] == DONE -> done[l] = 1
            :: else -> counted[l] = latest[l]
            fi
        :: else
        fi;
        if
        :: end_run[w] == latest[l] && stage[l] != NONE && on[l] == w -> lose(l)
        :: else
        fi
    :: else
    fi;
    if
    :: (stage[l] == NONE || on[l] != w || stage[l] == KEPT)
    :: stage[l] > KEPT && on[l] == w && run_on[w] == latest[l] -> stage[l] = RUNNING
    :: stage[l] > KEPT && on[l] == w && run_on[w] != latest[l] ->
        if
        :: stage[l] == RUNNING -> lose(l)
        :: stage[l] == INHERITED -> settle(l, w); lose(l)
#if defined(MUTANT_STOP) || defined(VARIANT_UNSURE)
        :: stage[l] == UNRESOLVED -> settle(l, w); lose(l)
#else
        :: stage[l] == UNRESOLVED && stopped[l] -> lose(l)
        :: stage[l] == UNRESOLVED && !stopped[l]
#endif
        fi
    fi
}

#ifdef VARIANT_UNSURE
#define MAY_EXTEND(l, w) ((w) != 0 || !broken[l])
#else
#define MAY_EXTEND(l, w) true
#endif
#if defined(VARIANT_UNSURE) && !defined(MUTANT_NUMBER)
#define LATE_KEPT(number) 0
#else
#define LATE_KEPT(number) number
#endif

/* The first look goes to whichever boot answers, and neither extends nor acknowledges. */
inline look(l) {
    atomic {
        term[l] != 0 ->
        if
        :: w = 0
        :: w = 1
        fi;
        if
        :: held[AT(l, w)] && MAY_EXTEND(l, w) ->
            target = known_boot[AT(l, w)]; number = ends_kept[AT(l, w)]; extends = fresh[l]
        :: target = 0; number = 0; extends = 0
        fi;
        if
        :: LOOK_FITS(target, w, term[l]) ->
            carry_look(w, target, term[l], number, extends);
            if
            :: is_answered = 1
            :: skip
            fi
        :: (FOR_BOOT(target, w) || target == 0) && !TOKEN_FITS(term[l], w) -> resign(l)
        :: w == 0 && target != 0 && !look_late ->
            look_late = 1;
            look_boot = target;
            look_token = term[l];
            look_kept = LATE_KEPT(number)
        :: else
        fi;
        if
        :: is_answered && known_boot[AT(l, w)] != boot[w] -> new_boot(l, w)
        :: else
        fi;
        if
        :: is_answered ->
#ifdef VARIANT_UNSURE
            broken[l] = (w == 0 -> 0 : broken[l]);
#endif
            conclude(l, w)
        :: else
        fi;
        target = 0; number = 0; extends = 0; is_answered = 0; w = 0
    }
}

inline late_look() {
    atomic {
        look_late ->
        if
        :: LOOK_FITS(look_boot, 0, look_token) ->
            carry_look(0, look_boot, look_token, look_kept, 1)
        :: else
        fi;
        look_late = 0; look_boot = 0; look_token = 0; look_kept = 0
    }
}

inline stop(l) {
    atomic {
        term[l] != 0 && stage[l] == UNRESOLVED && held[AT(l, on[l])] && !stopped[l] ->
        if
        :: FOR_BOOT(known_boot[AT(l, on[l])], on[l]) && TOKEN_FITS(term[l], on[l]) ->
            seen_token[on[l]] = (term[l] > seen_token[on[l]] -> term[l] : seen_token[on[l]]);
            closed[on[l]] = (latest[l] > closed[on[l]] -> latest[l] : closed[on[l]]);
            if
            :: run_on[on[l]] == latest[l] -> run_on[on[l]] = 0; wild[on[l]] = 0
            :: else
            fi;
            if
            :: stopped[l] = 1
            :: skip
            fi
        :: else
        fi
    }
}

#if defined(VARIANT_UNSURE) && !defined(MUTANT_DELAY)
#define HAS_LAPSED(w) true
#else
#define HAS_LAPSED(w) (!wild[w])
#endif

/* The leader finds that nothing that it or an earlier leader sent to this boot is alive. */
inline lapse(l) {
    atomic {
        term[l] != 0 && stage[l] > KEPT ->
#ifndef MUTANT_INHERITED
        if
        :: stage[l] == INHERITED && term[1 - l] < term[l] -> fresh[1 - l] = 0
        :: else
        fi;
#endif
        settle(l, on[l]);
        if
        :: late_run != 0 && on[l] == 0 -> late_expired = 1
        :: else
        fi;
#ifndef MUTANT_LAPSE
        if
        :: term[l] == log_term && HAS_LAPSED(on[l]) && !(stage[l] == INHERITED && fresh[1 - l]) ->
            if
            :: run_on[on[l]] != 0 ->
                closed[on[l]] = (run_on[on[l]] > closed[on[l]] -> run_on[on[l]] : closed[on[l]]);
                run_on[on[l]] = 0
            :: else
            fi;
            if
            :: end_run[on[l]] != 0 -> end_excused[on[l]] = 1
            :: else
            fi
        :: else
        fi;
#endif
        lose(l)
    }
}

active [LEADERS] proctype leader() {
    byte answer, target, number, w;
    bit extends, is_answered;
    do
    :: claim(_pid)
    :: registered(_pid)
    :: append(_pid)
    :: keep_ends(_pid)
    :: intend(_pid)
    :: send_start(_pid)
    :: look(_pid)
    :: stop(_pid)
    :: lapse(_pid)
    od
}

/* Runs fail on worker 0 alone. */
inline end_of_run(w) {
    atomic {
        run_on[w] != 0 && end_run[w] == 0 ->
        closed[w] = (run_on[w] > closed[w] -> run_on[w] : closed[w]);
        end_number[w]++;
        end_run[w] = run_on[w];
        if
        :: end_how[w] = DONE
        :: w == 0 -> end_how[w] = FAILED
        fi;
        end_excused[w] = 0;
        end_passed[w] = 0;
        run_on[w] = 0;
        wild[w] = 0
    }
}

active proctype workers() {
    byte answer;
    do
    :: end_of_run(0)
    :: end_of_run(1)
    :: atomic {
        boot[0] < MAX_BOOT ->
        boot[0]++;
#ifdef VARIANT_UNSURE
        broken[0] = 1; broken[1] = 1;
#endif
        seen_token[0] = 0; run_on[0] = 0; closed[0] = 0; wild[0] = 0; end_number[0] = 0;
        end_run[0] = 0; end_how[0] = 0; end_excused[0] = 0; end_passed[0] = 0
    }
    :: late_start()
    :: late_look()
    od
}

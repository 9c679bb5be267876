/* Starts without tickets: one task, two workers, and worker 0 restarts under its id.

   A command without an answer is carried out once at a later time, possibly by a later boot
   of its worker, or never. A start is outstanding until its answer, until its run is listed,
   or until the longest time that a command takes has passed since the leader gave up waiting
   for its answer (the delay). For a start of an earlier leader, which may go on unaware for
   a while, both are counted from the claim. Until then the task is not started again, and
   the log's record names the worker; after that, a list without the run ends the attempt if
   it was asked for since, with or without a stop.

   A boot keeps the highest token that it saw, takes no run that is not higher than one that
   ended or was stopped there, numbers its ends from 1, and forgets all this at a restart. A
   leader learns of a restart from a list alone. Its token rises with each boot that it saw,
   and when a start follows an acknowledging poll that got no answer. A poll acknowledges
   ends that the log has, nothing while a run of its worker is not listed yet, and no number
   that an answered poll has acknowledged.

   Time is abstract: the delay passes for a start only when no late copy of it is left. What
   a late command carries as expiry means nothing to a later boot: it grants a whole lease
   from then, which may outlast the end that the leader recorded (wild). That end is raised
   by a whole lease when a run is listed for the first time, and by the delay besides when a
   list shows a boot that the leader did not know. A lapse counts from that end, and the
   delay besides if the run is not listed; a claimant counts what earlier leaders extended.

   Properties: the task never runs twice at the same time; no start after an end that was
   "done" and that is acknowledged then or later, unless the lease lapsed between the two.

   Mutants remove one guard each:
     MUTANT_FENCE      a list of a boot that has seen a higher token settles the attempt
     MUTANT_STOP       an acknowledged stop and a list settle it, also for the next boot
     MUTANT_RECORD     the log's record drops the attempt after an acknowledged stop
     MUTANT_DELAY      no wait for the delay
     MUTANT_REIGN      the delay of an inherited start counts from the claim alone
     MUTANT_SENT       a list counts that was asked for before the delay had passed
     MUTANT_ACK        a poll acknowledges while a run is not listed yet
     MUTANT_EPOCH      a start after an unanswered acknowledging poll carries its token
     MUTANT_ANSWERED   the answer to a later acknowledging poll counts for that one too
     MUTANT_LAPSE      a lapse of a run that is not listed does not count the delay
     MUTANT_RAISE      a first list does not raise the recorded end of the lease
     MUTANT_BOOT       a list that shows a new boot raises it by a whole lease alone
     MUTANT_REPEAT     a start without a ticket is sent again

   Bounds other than two reigns, two runs and two boots:

     VARIANT_RUNS      one reign, three runs and three boots
     VARIANT_REPEAT    the same, and starts carry tickets of the boot that is there when the
                       log takes the intent; one without an answer is sent again, and the
                       first copy may be carried out after that. What an attempt waits for
                       is not shortened, as the tickets would allow.

   Left out: late commands to worker 1, late stops, more than one late start and one late
   poll at a time, answers that are late (but for MUTANT_SENT), several tasks, gangs, and
   leases that a late start of another task extends. */

#ifdef MUTANT_REPEAT
#define VARIANT_REPEAT
#define IS_TICKET_VALID(number) true
#else
#define IS_TICKET_VALID(number) ((number) == boot)
#endif
#if defined(VARIANT_REPEAT) || defined(MUTANT_FENCE) || defined(MUTANT_ACK) || defined(MUTANT_EPOCH) || defined(MUTANT_ANSWERED)
#define VARIANT_RUNS
#endif
#ifdef VARIANT_RUNS
#define MAX_TERM 1
#define MAX_RUN 3
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
#define INTENDED 1      /* the log has it, the start was not sent */
#define OUTSTANDING 2
#define INHERITED 3     /* the same, the start being an earlier leader's */
#define OVERDUE 4       /* not listed, and the delay has passed */
#define STARTED 5       /* answered, not listed */
#define LISTED 6

#define DONE 1
#define FAILED 2

/* Workers. */
byte boot = 1;              /* of worker 0 */
byte seen_token[WORKERS];
byte run_on[WORKERS];       /* number of the run there */
byte closed;                /* highest run that ended or was stopped on worker 0 */
byte wild;                  /* term of a late command that extended the lease past its recorded end */
byte end_number;            /* ends in this boot of worker 0 */
byte end_run[WORKERS];      /* the end that is not acknowledged */
byte end_how[WORKERS];
bit end_excused[WORKERS];   /* the lease lapsed since */
bit end_passed[WORKERS];    /* the task was started since */

/* The log. */
byte log_term;
byte log_run;
byte log_worker;            /* of that run, plus one; zero once it is surely gone */
bit log_done;

bit done_noted;             /* a good end was acknowledged */

/* Leaders. */
byte term[LEADERS];
bit fresh[LEADERS];         /* it may send starts and extend leases */
byte stage[LEADERS];
byte latest[LEADERS];       /* its latest run */
byte on[LEADERS];
bit done[LEADERS];
bit dirty[LEADERS];         /* the log lacks something */
#ifdef MUTANT_STOP
bit stopped[LEADERS];       /* the worker answered a stop of the run */
#endif
byte known_boot[LEADERS];   /* of worker 0 */
byte rises[LEADERS];        /* of the token for worker 0 */
#ifdef VARIANT_REPEAT
byte ticket[LEADERS];       /* boot for which the start on worker 0 has one */
#endif
bit unanswered[LEADERS];    /* a poll of worker 0 that acknowledged, with the present token */
byte ends_seen[LEADERS];
byte ends_kept[LEADERS];
byte ends_acked[LEADERS];   /* by polls that were answered */
#ifdef MUTANT_FENCE
byte start_token[LEADERS];
#endif

#ifdef MUTANT_SENT
bit asked[LEADERS];         /* a list without the run is on its way */
#endif

/* One start and one poll of worker 0 that are carried out later. */
byte late_run; byte late_boot; byte late_token;
#ifdef MUTANT_LAPSE
bit late_expired;
#endif
bit poll_late; byte poll_boot; byte poll_token; byte poll_ack; bit poll_extends;

#if defined(VARIANT_REPEAT) && !defined(MUTANT_REPEAT)
#define IS_UNTICKETED false
#else
#define IS_UNTICKETED true
#endif

#define TOKEN(l, w) (term[l] * 8 + rises[l] * (1 - (w)))
#define IS_LEADER(l) (term[l] == log_term)
#define IS_UNLISTED(l) (stage[l] > INTENDED && stage[l] != LISTED)

inline see_token(w, t) {
    seen_token[w] = (t > seen_token[w] -> t : seen_token[w])
}

/* A worker carries out a start, unless it refuses it. */
inline carry_start(w, r, t, is_late) {
    if
    :: t < seen_token[w]
    :: else ->
        see_token(w, t);
        if
        :: is_late && late_boot != boot && IS_UNTICKETED -> wild = t / 8
        :: else
        fi;
        if
        :: is_late && r <= closed
#ifdef VARIANT_REPEAT
        :: is_late && run_on[w] == r
        :: is_late && !IS_TICKET_VALID(late_boot)
#endif
#ifdef MUTANT_LAPSE
        :: is_late && late_expired && late_boot == boot
#endif
        :: else ->
            assert(run_on[0] == 0 && run_on[1] == 0);
            assert(!done_noted);
            run_on[w] = r;
            end_passed[0] = (end_run[0] != 0);
            end_passed[1] = (end_run[1] != 0)
        fi
    fi
}

inline carry_ack(w) {
    if
    :: end_run[w] != 0 ->
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

/* A poll that acknowledges ends up to a number. */
inline carry_poll(t, number) {
    see_token(0, t);
    if
    :: number >= end_number -> carry_ack(0)
    :: else
    fi
}

inline clear_late_start() {
    late_run = 0; late_boot = 0; late_token = 0
#ifdef MUTANT_LAPSE
    ; late_expired = 0
#endif
}

inline clear_late_poll() {
    poll_late = 0; poll_boot = 0; poll_token = 0; poll_ack = 0; poll_extends = 0
}

inline not_stopped(l) {
#ifdef MUTANT_STOP
    stopped[l] = 0
#else
    skip
#endif
}

inline forget_list(l) {
#ifdef MUTANT_SENT
    asked[l] = 0
#else
    skip
#endif
}

inline forget_ticket(l) {
#ifdef VARIANT_REPEAT
    ticket[l] = 0
#else
    skip
#endif
}

inline resign(l) {
    term[l] = 0; fresh[l] = 0; stage[l] = NONE; latest[l] = 0; on[l] = 0; done[l] = 0;
    dirty[l] = 0; known_boot[l] = 0; rises[l] = 0; unanswered[l] = 0;
    not_stopped(l);
    ends_seen[l] = 0; ends_kept[l] = 0; ends_acked[l] = 0;
#ifdef MUTANT_FENCE
    start_token[l] = 0;
#endif
    forget_ticket(l);
    forget_list(l)
}

inline lose(l) {
    stage[l] = NONE;
    on[l] = 0;
    not_stopped(l);
    forget_list(l);
    forget_ticket(l);
    dirty[l] = 1
}

/* The recorded end of the lease is a whole lease from now. */
inline raise_lease(l) {
    if
    :: IS_LEADER(l) -> wild = 0
    :: else
    fi
}

/* The log takes the claim, and the claimant reads up to it. Leases that were extended
   until then end before what the claimant counts. */
inline claim(l) {
    atomic {
        log_term < MAX_TERM && log_term == l ->
        log_term++;
        term[l] = log_term;
        fresh[l] = 1;
        wild = 0;
        latest[l] = log_run;
        done[l] = log_done;
        if
        :: log_worker != 0 && !log_done -> stage[l] = INHERITED; on[l] = log_worker - 1
        :: else
        fi
    }
}

/* Progress goes to the log, unless a later leader has claimed it. */
inline put(l) {
    if
    :: !IS_LEADER(l) -> resign(l)
    :: else ->
        log_run = latest[l];
        log_worker = (stage[l] == NONE -> 0 : on[l] + 1);
        log_done = done[l];
        ends_kept[l] = ends_seen[l];
        if
        :: done[l] -> carry_ack(1)
        :: else
        fi;
        dirty[l] = 0
    fi
}

inline append(l) {
    atomic {
        term[l] != 0 && dirty[l] -> put(l)
    }
}

/* The number of the run and its worker go into the log, after the first list of worker 0. */
inline intend(l) {
    atomic {
        term[l] != 0 && stage[l] == NONE && !done[l] && latest[l] < MAX_RUN && known_boot[l] != 0 ->
        latest[l]++;
        if
        :: on[l] = 0
        :: on[l] = 1
        fi;
        stage[l] = INTENDED;
#ifdef VARIANT_REPEAT
        ticket[l] = (on[l] == 0 -> boot : 0);
#endif
        put(l)
    }
}

#ifdef VARIANT_REPEAT
#define HAS_TICKET(l) (on[l] == 1 || IS_TICKET_VALID(ticket[l]))
#else
#define HAS_TICKET(l) true
#endif

#ifdef VARIANT_REPEAT
/* The worker answers the copy. Only "started" is conclusive: it may have carried out the first. */
inline repeat_start(l) {
    atomic {
        stage[l] == OUTSTANDING && on[l] == 0 && fresh[l] ->
        raise_lease(l);
        if
        :: TOKEN(l, 0) < seen_token[0] -> resign(l)
        :: TOKEN(l, 0) >= seen_token[0] && run_on[0] == latest[l] -> stage[l] = STARTED
        :: TOKEN(l, 0) >= seen_token[0] && run_on[0] != latest[l] && latest[l] > closed && HAS_TICKET(l) ->
            carry_start(0, latest[l], TOKEN(l, 0), 0);
            stage[l] = STARTED
        :: else -> see_token(0, TOKEN(l, 0))
        fi
    }
}
#endif

inline send_start(l) {
    atomic {
        term[l] != 0 && stage[l] == INTENDED ->
        if
        :: !fresh[l] -> lose(l)
        :: fresh[l] ->
            if
            :: on[l] == 0 && unanswered[l] ->
#ifndef MUTANT_EPOCH
                rises[l]++;
#endif
                unanswered[l] = 0
            :: else
            fi;
#ifdef MUTANT_FENCE
            start_token[l] = TOKEN(l, on[l]);
#endif
            if
            :: on[l] == 0 -> raise_lease(l)
            :: else
            fi;
            if
            :: TOKEN(l, on[l]) < seen_token[on[l]] -> resign(l)
            :: TOKEN(l, on[l]) >= seen_token[on[l]] && HAS_TICKET(l) ->
                carry_start(on[l], latest[l], TOKEN(l, on[l]), 0);
                stage[l] = STARTED
            :: lose(l)      /* surely not sent */
            :: on[l] == 0 && late_run == 0 ->
                stage[l] = OUTSTANDING;
                late_run = latest[l];
#if defined(VARIANT_REPEAT) && !defined(MUTANT_REPEAT)
                late_boot = ticket[l];
#else
                late_boot = known_boot[l];
#endif
                late_token = TOKEN(l, 0)
            fi
        fi
    }
}

/* What a list says of an end that is not known yet, and of the latest run. */
inline take_end(l, w, ended, how) {
    dirty[l] = 1;
    if
    :: ended == latest[l] && how == DONE -> done[l] = 1
    :: else
    fi;
    if
    :: ended == latest[l] && stage[l] > INTENDED && on[l] == w -> lose(l)
    :: else
    fi
}

inline take_run(l, w, running, counts) {
    if
    :: stage[l] > INTENDED && on[l] == w && running == latest[l] && stage[l] != LISTED ->
        stage[l] = LISTED;
        not_stopped(l);
#ifndef MUTANT_RAISE
        if
        :: w == 0 -> raise_lease(l)
        :: else
        fi
#endif
    :: stage[l] > INTENDED && on[l] == w && running != latest[l] && counts -> lose(l)
    :: else
    fi
}

/* True if a list without the run ends the attempt. */
#if defined(MUTANT_STOP)
#define COUNTS(l) (stage[l] >= OVERDUE || stopped[l])
#elif defined(MUTANT_FENCE)
#define COUNTS(l) (stage[l] >= OVERDUE || (stage[l] == OUTSTANDING && TOKEN(l, 0) > start_token[l]))
#else
#define COUNTS(l) (stage[l] >= OVERDUE)
#endif

#ifdef MUTANT_ACK
#define MAY_ACK(l) (ends_kept[l] > ends_acked[l])
#else
#define MAY_ACK(l) (ends_kept[l] > ends_acked[l] && !(IS_UNLISTED(l) && on[l] == 0))
#endif

/* It is carried out later, or an answer is lost, which is the same carried out at once. */
inline send_late_poll(l, number, extends) {
    poll_late = 1;
    poll_boot = known_boot[l];
    poll_token = TOKEN(l, 0);
    poll_ack = number;
    poll_extends = extends;
    unanswered[l] = unanswered[l] || poll_ack != 0
}

inline poll_restarting(l) {
    atomic {
        term[l] != 0 ->
        if
        :: MAY_ACK(l) -> number = ends_kept[l]
        :: skip
        fi;
        if
        :: TOKEN(l, 0) < seen_token[0] -> resign(l)
        :: TOKEN(l, 0) >= seen_token[0] ->
            carry_poll(TOKEN(l, 0), number);
            counts = (on[l] == 0 && COUNTS(l));
            if
            :: boot != known_boot[l] ->
                if
                :: known_boot[l] != 0 -> rises[l]++; unanswered[l] = 0
                :: else
                fi;
                known_boot[l] = boot;
                ends_seen[l] = 0; ends_kept[l] = 0; ends_acked[l] = 0
            :: else ->
                if
                :: number != 0 ->
                    ends_acked[l] = number;
#ifdef MUTANT_ANSWERED
                    unanswered[l] = 0
#endif
                :: else
                fi
            fi;
            if
            :: end_run[0] != 0 && end_number > ends_seen[l] ->
                ends_seen[l] = end_number;
                take_end(l, 0, end_run[0], end_how[0])
            :: else
            fi;
            take_run(l, 0, run_on[0], counts);
            counts = 0
#ifdef MUTANT_SENT
            ;
            asked[l] = asked[l] || (on[l] == 0 && IS_UNLISTED(l))
#endif
        :: number != 0 && !poll_late -> send_late_poll(l, number, 0)
        :: known_boot[l] != 0 && fresh[l] && !poll_late ->
            send_late_poll(l, number, 1);
            raise_lease(l)
        fi;
        number = 0
    }
}

#ifdef MUTANT_SENT
inline list_arrives(l) {
    atomic {
        asked[l] && stage[l] == OVERDUE -> lose(l)
    }
}
#endif

/* Worker 1 answers at once. */
inline poll_steady(l) {
    atomic {
        term[l] != 0 ->
        if
        :: TOKEN(l, 1) < seen_token[1] -> resign(l)
        :: else ->
            see_token(1, TOKEN(l, 1));
            if
            :: end_run[1] != 0 && !done[l] -> take_end(l, 1, end_run[1], end_how[1])
            :: else
            fi;
            take_run(l, 1, run_on[1], (on[l] == 1 && stage[l] >= OVERDUE))
        fi
    }
}

/* An earlier leader sends nothing more. */
inline end_reign(l) {
    if
    :: term[1 - l] != 0 && term[1 - l] < term[l] -> fresh[1 - l] = 0
    :: else
    fi
}

#ifdef MUTANT_DELAY
#define HAS_PASSED true
#else
#define HAS_PASSED (late_run == 0)
#endif

/* The delay has passed. */
inline expire(l) {
    atomic {
        (stage[l] == OUTSTANDING || stage[l] == INHERITED) && (on[l] == 1 || HAS_PASSED) ->
#ifndef MUTANT_REIGN
        if
        :: stage[l] == INHERITED -> end_reign(l)
        :: else
        fi;
#endif
        stage[l] = OVERDUE
    }
}

inline stop(l) {
    atomic {
        (stage[l] == OUTSTANDING || stage[l] == OVERDUE) && on[l] == 0 ->
        if
        :: TOKEN(l, 0) < seen_token[0] -> resign(l)
        :: else ->
            see_token(0, TOKEN(l, 0));
            closed = (latest[l] > closed -> latest[l] : closed);
            if
            :: run_on[0] == latest[l] -> run_on[0] = 0
            :: else
            fi;
#ifdef MUTANT_STOP
            stopped[l] = 1
#elif defined(MUTANT_RECORD)
            log_worker = (IS_LEADER(l) -> 0 : log_worker)
#else
            skip
#endif
        fi
    }
}

/* The recorded end has passed, and for a run that is not listed the delay after it. For one
   that is listed, the delay since its boot was shown: nothing that this leader sent to an
   earlier boot is left, and what that extended is over. */
#define LATE_EXTENSION (poll_late && poll_extends)
#define TO_EARLIER_BOOT(l) (poll_boot != known_boot[l] && poll_token / 8 == term[l])
#ifdef MUTANT_LAPSE
#define UNLISTED_IS_OVER(l) (wild == 0)
#define MAY_LAPSE_UNLISTED(l) true
#else
#define UNLISTED_IS_OVER(l) true
#define MAY_LAPSE_UNLISTED(l) (late_run == 0 && !LATE_EXTENSION)
#endif
#ifdef MUTANT_BOOT
#define LISTED_IS_OVER(l) (wild == 0)
#define MAY_LAPSE_LISTED(l) true
#else
#define LISTED_IS_OVER(l) (wild == 0 || wild == term[l])
#define MAY_LAPSE_LISTED(l) !(LATE_EXTENSION && TO_EARLIER_BOOT(l))
#endif
#define IS_OVER(l) (on[l] == 1 || \
    (IS_UNLISTED(l) && UNLISTED_IS_OVER(l)) || (stage[l] == LISTED && LISTED_IS_OVER(l)))
#define MAY_LAPSE(l) (on[l] == 1 || \
    (IS_UNLISTED(l) && MAY_LAPSE_UNLISTED(l)) || (stage[l] == LISTED && MAY_LAPSE_LISTED(l)))

inline lapse(l) {
    atomic {
        stage[l] > INTENDED && MAY_LAPSE(l) ->
        if
        :: stage[l] == INHERITED -> end_reign(l)
        :: else
        fi;
#ifdef MUTANT_LAPSE
        if
        :: late_run != 0 -> late_expired = 1
        :: else
        fi;
#endif
        if
        :: IS_LEADER(l) && IS_OVER(l) ->
            if
            :: run_on[on[l]] != 0 ->
                closed = (on[l] == 0 -> run_on[0] : closed);
                run_on[on[l]] = 0
            :: else
            fi;
            if
            :: end_run[on[l]] != 0 -> end_excused[on[l]] = 1
            :: else
            fi;
            if
            :: on[l] == 0 -> wild = 0
            :: else
            fi
        :: else
        fi;
        lose(l)
    }
}

active [LEADERS] proctype leader() {
    byte number;
    bit counts;
    do
    :: claim(_pid)
    :: append(_pid)
    :: intend(_pid)
    :: send_start(_pid)
#ifdef VARIANT_REPEAT
    :: repeat_start(_pid)
#endif
    :: poll_restarting(_pid)
#ifdef MUTANT_SENT
    :: list_arrives(_pid)
#endif
    :: poll_steady(_pid)
    :: stop(_pid)
    :: expire(_pid)
    :: lapse(_pid)
    od
}

inline end_of_run(w) {
    end_run[w] = run_on[w];
    end_excused[w] = 0;
    end_passed[w] = 0;
    run_on[w] = 0
}

active proctype workers() {
    do
    :: atomic {
        run_on[0] != 0 && end_run[0] == 0 ->
        closed = run_on[0];
        end_number++;
        if
        :: end_how[0] = DONE
        :: end_how[0] = FAILED
        fi;
        end_of_run(0)
    }
    :: atomic {
        run_on[1] != 0 && end_run[1] == 0 ->
        end_how[1] = DONE;
        end_of_run(1)
    }
    :: atomic {
        boot < MAX_BOOT ->
        boot++;
        seen_token[0] = 0; run_on[0] = 0; closed = 0; end_number = 0;
        wild = 0;
        end_run[0] = 0; end_how[0] = 0; end_excused[0] = 0; end_passed[0] = 0
    }
    :: atomic {
        late_run != 0 ->
        if
        :: carry_start(0, late_run, late_token, 1)
        :: skip
        fi;
        clear_late_start()
    }
    :: atomic {
        poll_late ->
        if
        :: poll_token >= seen_token[0] ->
            carry_poll(poll_token, poll_ack);
            if
            :: poll_extends && poll_boot != boot -> wild = poll_token / 8
            :: else
            fi
        :: else
        fi;
        clear_late_poll()
    }
    od
}

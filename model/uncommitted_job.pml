/* A job is planned while its definition is being appended to the log.

   A caller submits the job up to three times. The leader queues each definition, plans the
   first start at once, and appends definition and intent: the intent with the definition or
   after it. The log executes an append, refuses it, or its answer is lost; an append without
   an answer may be executed late, or never. The leader repeats it under the same number, of
   which the log executes the first one alone. A definition that the log has refused twice,
   every attempt being answered, is withdrawn with what was planned for it, and the caller is
   told that the job will not run. A second leader claims the log at any time, knows what it
   holds, and fences the first. The job is cancelled at any time; a leader learns of it from
   the log, before or after it learns that the definition is committed.

   Properties: a start is sent only once the log has definition and intent; what the caller
   was refused is never in the log; what the caller was told is accepted is in the log; a
   leader that knows of the cancellation sends no start.

   Mutants remove one guard each:
     MUTANT_WITHDRAW   the intent of a definition that is withdrawn stays
     MUTANT_UNKNOWN    a definition is withdrawn although an attempt had no answer
     MUTANT_ORDER      the intent may precede the definition
     MUTANT_SENT       the start is sent before the append is done
     MUTANT_FENCED     a caller is refused by a leader that was fenced after an attempt
                       without an answer
     MUTANT_CANCELLED  a cancellation that precedes the definition is not applied to it

   Left out: failures of workers and runs after the first; more than one late append. */

#define TRIES 3
#define LEADERS 2

#define DONE 1
#define FENCED 2

/* The log. */
byte log_term;
byte log_number;        /* of the latest append of that term */
byte log_definition;    /* the submission that defined the job, or zero */
bit log_intent;
bit log_cancelled;

/* An append that is executed late. */
bit is_late;
byte late_term;
byte late_number;
byte late_definition;
bit late_intent;

byte tries;
bit refused[TRIES + 1];

inline execute(the_term, number, definition, intent) {
    if
    :: the_term < log_term -> result = FENCED
    :: the_term == log_term && number != log_number && number != log_number + 1 -> result = FENCED
    :: the_term == log_term && number == log_number -> result = DONE
    :: else ->
        log_number = number;
        assert(definition == 0 || !refused[definition]);
        if
        :: definition > 0 && log_definition == 0 -> log_definition = definition
        :: else
        fi;
        log_intent = log_intent || intent;
        result = DONE
    fi
}

proctype leader(byte term) {
    byte number;
    byte queued;            /* the submission whose definition is to be appended */
    bit is_planned;         /* the intent is to be appended */
    bit knows_definition;
    bit knows_intent;
    bit knows_cancellation;
    bit is_cancelled;       /* the job that is planned has ended by the cancellation */
    byte definition;        /* content of the append in progress */
    bit intent;
    bit is_appending;
    bit is_unanswered;      /* an attempt of it had no answer */
    byte refusals;
    byte result;

    atomic {
        log_term < term;
        log_term = term;
        log_number = 0;
        knows_definition = log_definition > 0;
        knows_intent = log_intent;
        knows_cancellation = log_cancelled;
        is_cancelled = log_cancelled && log_definition > 0
    }
    do
    :: atomic { log_cancelled && !knows_cancellation ->
        knows_cancellation = true;
        is_cancelled = knows_definition }
    :: atomic { queued == 0 && definition == 0 && !knows_definition && tries < TRIES ->
        tries++;
        queued = tries }
    :: atomic { (queued > 0 || definition > 0 || knows_definition) && !is_planned && !intent && !knows_intent ->
        is_planned = true }
    :: atomic { !is_appending && (queued > 0 || is_planned) ->
        is_appending = true;
        is_unanswered = false;
        refusals = 0;
        number++;
        intent = is_planned;
        is_planned = false;
        definition = queued;
        queued = 0;
#ifdef MUTANT_ORDER
        if
        :: intent && definition > 0 -> queued = definition; definition = 0
        :: true
        fi
#endif
       }
#ifdef MUTANT_SENT
    :: atomic { is_appending && intent -> assert(log_definition > 0 && log_intent) }
#endif
    :: atomic { is_appending ->
        execute(term, number, definition, intent);
        if
        :: result == DONE ->
            is_appending = false;
            knows_definition = knows_definition || definition > 0;
#ifndef MUTANT_CANCELLED
            is_cancelled = is_cancelled || (definition > 0 && knows_cancellation);
#endif
            knows_intent = knows_intent || intent;
            assert(definition == 0 || log_definition > 0);
            assert(!intent || (log_definition > 0 && log_intent && !refused[log_definition]));
            assert(!intent || is_cancelled || !knows_cancellation);
            definition = 0;
            intent = false
        :: result == FENCED -> break
        fi }
    :: atomic { is_appending ->
        /* The answer is lost. */
        execute(term, number, definition, intent);
        is_unanswered = true;
        result = 0 }
    :: atomic { is_appending && !is_late ->
        is_unanswered = true;
        is_late = true;
        late_term = term;
        late_number = number;
        late_definition = definition;
        late_intent = intent }
    :: atomic { is_appending && refusals < 2 && term >= log_term ->
        refusals++;
        if
#ifdef MUTANT_UNKNOWN
        :: refusals == 2 && definition > 0 ->
#else
        :: refusals == 2 && definition > 0 && !is_unanswered ->
#endif
            refused[definition] = true;
            assert(log_definition != definition);
            definition = 0;
#ifndef MUTANT_WITHDRAW
            intent = false;
            is_planned = false;
#endif
            if
            :: !intent -> is_appending = false; number--
            :: else
            fi
        :: else
        fi }
    od;
    /* Fenced: what was never sent, or answered each time, is refused. */
    atomic {
        if
#ifdef MUTANT_FENCED
        :: definition > 0 ->
#else
        :: definition > 0 && !is_unanswered ->
#endif
            refused[definition] = true;
            assert(log_definition != definition)
        :: else
        fi;
        if
        :: queued > 0 -> refused[queued] = true
        :: else
        fi
    }
}

active proctype network() {
    byte result;
    do
    :: atomic { is_late ->
        execute(late_term, late_number, late_definition, late_intent);
        is_late = false;
        result = 0 }
    :: atomic { is_late -> is_late = false }
    :: atomic { !log_cancelled -> log_cancelled = true }
    od
}

init {
    run leader(1);
    run leader(2)
}

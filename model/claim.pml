/* How entry VMs claim leadership in the log of the platform, with appends that are done late.

   An append names its term and a sequence number. The log refuses terms lower than the highest,
   takes any number with a higher term, and within a term only the next number. The repeat of
   an append that it has receives the first answer again; whether that holds once a higher term
   is there is left open. An append is done and answered, done without an answer, done at any
   later time, or refused.

   A claim is the first append of a term, the next after the highest that the claimant has
   read; its number is random, here distinct for each claim. Without an answer the claimant
   repeats it until it reads of that term or a higher one; refused, it may claim anew while the
   first attempt is still to come. Once the claim is answered as done
   and read back, the claimant leads, unless it has read of a higher term. A leader appends
   progress, one record at a time, and repeats each until it is answered. Node 0 may start anew,
   with nothing but what it reads; what it sent may still be done.

   Properties: a term has one leader; a leader has read all progress of earlier terms when it
   begins, and none comes afterwards; no append is in the log twice.

   Mutants remove one guard each:
     MUTANT_NUMBER     all claims of a term have the same number
     MUTANT_READ       a claimant leads before it has read its claim
     MUTANT_FENCE      the log takes appends of lower terms
     MUTANT_FRESH      a repeated append gets a new number */

#define NODES 2
#define MAX_TERM 3
#define MAX_RECORDS 4
#define MAX_LIVES 2
#define MAX_CLAIMS 2

#define IDLE 0
#define CLAIMING 1
#define READING 2
#define LEADING 3

#ifdef MUTANT_NUMBER
#define CLAIM_NUMBER(n) 1
#else
#define CLAIM_NUMBER(n) (1 + 96 * (n) + 48 * life[n] + 16 * claims[n])
#endif

/* The log. */
byte log_term;
byte log_number;
byte length;
byte record_term[MAX_RECORDS];
byte record_number[MAX_RECORDS];
byte record_item[MAX_RECORDS];   /* which progress of its leader it is, 0 for a claim */

/* Nodes. */
byte life[NODES];
byte claims[NODES];     /* of this life */
byte phase[NODES];
byte term[NODES];
byte number[NODES];     /* of the append under way */
byte item[NODES];
byte offset[NODES];     /* of the claim */
byte read_to[NODES];
byte seen_term[NODES];

/* One append of each node that is done later. */
byte late_term[NODES];
byte late_number[NODES];
byte late_item[NODES];

/* Highest term whose leader has begun, and which terms have. */
byte begun_term;
bit begun[MAX_TERM + 1];

#define REFUSED 0
#define DONE 1
#define REJECTED 2

/* The log carries out an append: "answer" and "at" tell what it says. */
inline execute(t, m, k) {
    at = 0;
    do
    :: at < length && !(record_term[at] == t && record_number[at] == m) -> at++
    :: else -> break
    od;
    if
    :: at < length && t == log_term -> answer = DONE
    :: at < length && t != log_term -> answer = DONE
    :: at < length && t != log_term -> answer = REJECTED
    :: at == length && length == MAX_RECORDS -> answer = REFUSED
#ifdef MUTANT_FENCE
    :: at == length && length < MAX_RECORDS && t < log_term -> write(t, m, k)
#else
    :: at == length && length < MAX_RECORDS && t < log_term -> answer = REJECTED
#endif
    :: at == length && length < MAX_RECORDS && t == log_term && m != log_number + 1 -> answer = REJECTED
    :: at == length && length < MAX_RECORDS && (t > log_term || (t == log_term && m == log_number + 1)) ->
        log_term = t;
        log_number = m;
        write(t, m, k)
    fi
}

inline write(t, m, k) {
    /* No progress of an earlier leader comes once a later one has begun, and none comes twice. */
    assert(k == 0 || t >= begun_term);
    i = 0;
    do
    :: i < length -> assert(k == 0 || record_term[i] != t || record_item[i] != k); i++
    :: else -> break
    od;
    record_term[length] = t;
    record_number[length] = m;
    record_item[length] = k;
    at = length;
    length++;
    answer = DONE;
    i = 0
}

inline rest(n) {
    phase[n] = IDLE; term[n] = 0; number[n] = 0; item[n] = 0; offset[n] = 0
}

inline read(n) {
    atomic {
        read_to[n] < length ->
        if
        :: record_term[read_to[n]] > seen_term[n] -> seen_term[n] = record_term[read_to[n]]
        :: else
        fi;
        read_to[n]++;
        if
        :: phase[n] == LEADING && seen_term[n] > term[n] -> rest(n)
        :: else
        fi
    }
}

inline claim(n) {
    atomic {
        phase[n] == IDLE && seen_term[n] < MAX_TERM && claims[n] < MAX_CLAIMS ->
        phase[n] = CLAIMING;
        term[n] = seen_term[n] + 1;
        number[n] = CLAIM_NUMBER(n);
        claims[n]++
    }
}

/* The node sends the append that is under way. */
inline send(n) {
    atomic {
        phase[n] == CLAIMING || (phase[n] == LEADING && item[n] != 0) ->
        if
        :: execute(term[n], number[n], item[n]);
            if
            :: answered(n)
            :: unanswered(n)
            fi
        :: late_term[n] == 0 ->
            late_term[n] = term[n]; late_number[n] = number[n]; late_item[n] = item[n];
            unanswered(n)
        :: unanswered(n)
        :: answer = REFUSED; answered(n)
        fi;
        answer = 0; at = 0
    }
}

inline answered(n) {
    if
    :: answer == DONE && phase[n] == CLAIMING -> phase[n] = READING; offset[n] = at
    :: answer == DONE && phase[n] == LEADING -> item[n] = 0
    :: answer == REJECTED -> rest(n)
    :: answer == REFUSED && phase[n] == CLAIMING -> rest(n)
    :: answer == REFUSED && phase[n] == LEADING
    fi
}

inline unanswered(n) {
    if
    :: phase[n] == CLAIMING && seen_term[n] >= term[n] -> rest(n)
#ifdef MUTANT_FRESH
    :: phase[n] == LEADING && number[n] % 16 < 4 -> number[n]++
    :: phase[n] == LEADING && number[n] % 16 >= 4
    :: phase[n] == CLAIMING && seen_term[n] < term[n]
#else
    :: else
#endif
    fi
}

inline begin(n) {
    atomic {
#ifdef MUTANT_READ
        phase[n] == READING ->
#else
        phase[n] == READING && read_to[n] > offset[n] ->
#endif
        if
        :: seen_term[n] > term[n] -> rest(n)
        :: else ->
            assert(!begun[term[n]]);
            begun[term[n]] = 1;
            begun_term = (term[n] > begun_term -> term[n] : begun_term);
            i = read_to[n];
            do
            :: i < length -> assert(record_term[i] >= term[n]); i++
            :: else -> break
            od;
            i = 0;
            phase[n] = LEADING
        fi
    }
}

inline progress(n) {
    atomic {
        phase[n] == LEADING && item[n] == 0 && last_item < 2 ->
        last_item++;
        item[n] = last_item;
        number[n]++
    }
}

inline late(n) {
    atomic {
        late_term[n] != 0 ->
        execute(late_term[n], late_number[n], late_item[n]);
        late_term[n] = 0; late_number[n] = 0; late_item[n] = 0;
        answer = 0; at = 0
    }
}

inline restart(n) {
    atomic {
        n == 0 && life[n] + 1 < MAX_LIVES ->
        life[n]++;
        claims[n] = 0;
        rest(n);
        last_item = 0;
        read_to[n] = 0;
        seen_term[n] = 0
    }
}

active [NODES] proctype node() {
    byte answer, at, i, last_item;
    do
    :: read(_pid)
    :: claim(_pid)
    :: send(_pid)
    :: begin(_pid)
    :: atomic { phase[_pid] == IDLE && last_item != 0 -> last_item = 0 }
    :: progress(_pid)
    :: late(_pid)
    :: restart(_pid)
    od
}

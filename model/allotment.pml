/* A ceiling split over two failure domains: a floor each, and a movable part
   that donations in the log move. Domain 0 may have two would-be leaders, P and
   Q; domain 1 has one, R. All of a domain's starts are on one worker that obeys
   the newest holder.

   Property: what runs in both domains never exceeds CEILING.

   Mutants remove one guard each:
     MUTANT_CLAIM     a leader uses the movable part without a claim of its own
     MUTANT_VOID      a later claim does not void donations of older ones
     MUTANT_LOWER     a donor lowers its own limit only after its donation is read back */

#define CEILING 4
#define FLOOR 1
#define NOBODY 9
#define LOG 6

byte log_kind[LOG];      /* 1 claim, 2 donation of one from domain 0 to 1 */
byte log_who[LOG];
byte log_claim[LOG];
byte log_end;

byte holder0 = NOBODY;   /* leader that the worker of domain 0 obeys */
byte used0;
byte used1;

byte read_to[3];         /* offset up to which each leader read */
byte claim_seen[3];      /* newest claim of domain 0 it knows */
byte claim_by[3];
byte moved_seen[3];      /* movable units that left domain 0, as it knows */
byte pending[3];         /* its own donations that are not read back */
bit claimed_since_hold[3];
bit claim_sent[3];
byte claim_number[3];    /* number of the claim that was sent */

#ifdef MUTANT_LOWER
#define LOWER(l) skip
#else
#define LOWER(l) pending[l]++
#endif

#define MOVABLE 1        /* each domain's part of the movable half */

inline read_log(l) {
    atomic {
        read_to[l] < log_end ->
        if
        :: log_kind[read_to[l]] == 1 && log_claim[read_to[l]] > claim_seen[l] ->
            claim_seen[l] = log_claim[read_to[l]];
            claim_by[l] = log_who[read_to[l]]
        :: log_kind[read_to[l]] == 2 ->
            if
#ifdef MUTANT_VOID
            :: true ->
#else
            :: log_claim[read_to[l]] == claim_seen[l] ->
#endif
                moved_seen[l]++;
                if
                :: log_who[read_to[l]] == l && pending[l] > 0 -> pending[l]--
                :: else
                fi
            :: else ->
                if
                :: log_who[read_to[l]] == l && pending[l] > 0 -> pending[l]--
                :: else
                fi
            fi
        :: else
        fi;
        read_to[l]++
    }
}

inline take_hold(l) {
    atomic { holder0 != l -> holder0 = l; claimed_since_hold[l] = 0; claim_sent[l] = 0 }
}

inline claim(l) {
    atomic {
        holder0 == l && log_end < LOG && !claim_sent[l] && read_to[l] == log_end ->
        log_kind[log_end] = 1;
        log_who[log_end] = l;
        log_claim[log_end] = claim_seen[l] + 1;
        claim_number[l] = claim_seen[l] + 1;
        log_end++;
        claim_sent[l] = 1
    }
}

/* A claim counts for the hold that it followed, once read back. */
inline note_claim(l) {
    atomic {
        claim_sent[l] && claim_by[l] == l && claim_seen[l] == claim_number[l] ->
        claim_sent[l] = 0;
        claimed_since_hold[l] = (holder0 == l)
    }
}

#ifdef MUTANT_CLAIM
#define HAS_CLAIM(l) 1
#else
#define HAS_CLAIM(l) (claimed_since_hold[l] && claim_by[l] == l)
#endif

#define LIMIT0(l) (HAS_CLAIM(l) -> FLOOR + MOVABLE - moved_seen[l] - pending[l] : FLOOR)

inline donate(l) {
    atomic {
        log_end < LOG && HAS_CLAIM(l) && claim_by[l] == l && used0 < LIMIT0(l) && moved_seen[l] + pending[l] < MOVABLE ->
        LOWER(l);
        log_kind[log_end] = 2;
        log_who[log_end] = l;
        log_claim[log_end] = claim_seen[l];
        log_end++
    }
}

inline start0(l) {
    atomic {
        holder0 == l && used0 < LIMIT0(l) -> used0++;
        assert(used0 + used1 <= CEILING)
    }
}

active [2] proctype domain0() {
    byte l = _pid;
    do
    :: take_hold(l)
    :: read_log(l)
    :: claim(l)
    :: note_claim(l)
    :: donate(l)
    :: start0(l)
    :: atomic { holder0 == l && used0 > 0 -> used0-- }
    od
}

active proctype domain1() {
    byte l = _pid;
    do
    :: read_log(l)
    :: atomic { used1 < FLOOR + MOVABLE + moved_seen[l] -> used1++; assert(used0 + used1 <= CEILING) }
    :: atomic { used1 > 0 -> used1-- }
    od
}

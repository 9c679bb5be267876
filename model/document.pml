/* The governing document as a fold of the log: two operators edit the same
   section, a reader falls behind the retention and restarts, a writer appends
   snapshots. A version is known by the edit that made it.

   Properties: a reader's version never goes back; two readers at the same offset
   hold the same document; of two edits against one version one counts.

   Mutants remove one guard each:
     MUTANT_BASE      an edit counts whatever version it was made against
     MUTANT_GAP       a reader goes on over a gap in the log
     MUTANT_OLDER     a reader takes any snapshot, also an older one */

#define LOG 5
#define KEPT 3

byte kind[LOG];      /* 1 edit, 2 snapshot */
byte base[LOG];
byte stands_for[LOG];
byte snap_version[LOG];
byte log_end;
byte first;          /* oldest record that is still kept */

/* The truth: the version after each record. */
byte truth[LOG + 1];

inline append(k, b, s, v) {
    kind[log_end] = k;
    base[log_end] = b;
    stands_for[log_end] = s;
    snap_version[log_end] = v;
    if
    :: k == 1 && b == truth[log_end] -> truth[log_end + 1] = truth[log_end] + 1
    :: else -> truth[log_end + 1] = truth[log_end]
    fi;
    log_end++;
    if
    :: log_end - first > KEPT -> first = log_end - KEPT
    :: else
    fi
}

active [2] proctype operator() {
    byte read;
    do
    :: atomic { read = truth[log_end] };
       atomic { log_end < LOG -> append(1, read, 0, 0) }
    :: atomic { log_end >= LOG -> break }
    od
}

active proctype keeper() {
    byte folded;
    do
    :: atomic { folded = log_end };
       atomic { log_end < LOG -> append(2, 0, folded, truth[folded]) }
    :: atomic { log_end >= LOG -> break }
    od
}

active [2] proctype reader() {
    byte offset;
    byte version;
    byte before;
    byte next;
    do
    :: atomic {
        next = (offset < first -> first : offset);
        next < log_end ->
        before = version;
        if
#ifdef MUTANT_GAP
        :: kind[next] == 1 ->
#else
        :: kind[next] == 1 && next == offset ->
#endif
            if
#ifdef MUTANT_BASE
            :: true -> version++
#else
            :: base[next] == version -> version++
            :: else
#endif
            fi;
            offset = next + 1
#ifdef MUTANT_OLDER
        :: kind[next] == 2 ->
            version = snap_version[next]; offset = stands_for[next]
#else
        :: kind[next] == 2 && stands_for[next] > offset ->
            version = snap_version[next]; offset = stands_for[next]
        :: kind[next] == 2 && next == offset ->
            offset = next + 1
#endif
        :: else ->
            /* Behind a gap: only a snapshot further on helps; look for it. */
            if
            :: (next + 1 < log_end && kind[next + 1] == 2 && stands_for[next + 1] > offset) ->
                version = snap_version[next + 1]; offset = stands_for[next + 1]
            :: else -> break
            fi
        fi;
        assert(version >= before);
        assert(version == truth[offset])
    }
    :: atomic { offset = 0; version = 0 }   /* restart; what it held is forgotten */
    :: atomic { log_end >= LOG && offset >= log_end -> break }
    od
}

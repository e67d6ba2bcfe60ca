/* Fencing, promotion, confirmation and reads of one database group.
 *
 * Three databases, two owners with disjoint terms, k = 1 confirming replica. An owner may move to
 * its next term at any step, which covers a takeover, a pause (it resumes in an old term) and a
 * crash (it takes no further steps). The answer to an order may be lost. A log is a bit vector with
 * three bits per entry; an entry is the term that appended it, so that (term, position) identifies it.
 *
 * Bounds and mutants are selected by preprocessor definitions; see tests.d/spec.sh.
 */
#ifndef TERMS
#define TERMS 4
#endif
#ifndef WRITES
#define WRITES 1
#endif
#define DATABASES 3
#define CONFIRM 1
#ifdef NO_QUORUM_RULE
#define FENCE_QUORUM 1
#else
#define FENCE_QUORUM (DATABASES - CONFIRM)
#endif

#define FENCED 0
#define PRIMARY 1
#define REPLICA 2

#define FENCING 0
#define PROMOTED 1

#define BITS 3
#define PREFIX(log, length) ((log) & ((1 << (BITS * (length))) - 1))
#define SAME_PREFIX(a, b, length) (PREFIX(a, length) == PREFIX(b, length))
#define ENTRY(log, position) (((log) >> (BITS * ((position) - 1))) & 7)

#ifdef NO_TERM_CHECK
#define ACCEPTS(d, t) true
#define TAKES_WRITES(d, t) true
#else
#define ACCEPTS(d, t) (db[d].term <= (t))
#define TAKES_WRITES(d, t) (db[d].term == (t) && db[d].role == PRIMARY)
#endif

#if defined(CONFIRM_ANY_TERM)
#define CONFIRMS(d, t) true
#elif defined(CONFIRM_TAIL)
#define CONFIRMS(d, t) (db[d].term == (t))
#else
#define CONFIRMS(d, t) (db[d].term == (t) && db[d].role == REPLICA && db[d].inSync)
#endif

#ifdef READ_TAIL
#define READABLE(d, t) (db[d].term == (t) && db[d].role != FENCED)
#else
#define READABLE(d, t) (db[d].term == (t) && (db[d].role == PRIMARY || db[d].inSync))
#endif

#define SEEN(d) ((readSeen >> (d)) & 1)
#if defined(WITH_TOKEN) || defined(UNCONFIRMED_READ)
#define ROUND_CONFIRMED true
#elif defined(ROUND_OF_REPLICAS)
#define ROUND_CONFIRMED (SEEN(0) * (primary != 0) + SEEN(1) * (primary != 1) + SEEN(2) * (primary != 2) >= CONFIRM)
#else
#define ROUND_CONFIRMED (SEEN(0) + SEEN(1) + SEEN(2) >= CONFIRM + 1)
#endif

typedef database {
    byte term;
    byte role;
    bool inSync;
    byte length;
    int log;
}
database db[DATABASES];

/* The log of the primary of each term, from which replicas may receive entries late. */
int termLog[TERMS + 1];
byte termLength[TERMS + 1];
bool promotedIn[TERMS + 1];
/* One more than the position up to which the owner of a term has declared entries done; zero before it serves. */
byte declared[TERMS + 1];
byte writesLeft = WRITES;

#ifdef READS
/* The only read in progress, and the last entry that its session knew to be done before it began. */
bool reading;
byte readBy;
byte readAfterTerm;
byte readAfterPosition;
byte readFloor;
byte readSeen;
bool readRan;
bool readFits;
bool readDone;
#endif

inline checkDeclared()
{
    d_step {
        low = 1;
        do
        :: low < TERMS ->
            high = low + 1;
            do
            :: high <= TERMS ->
                if
                :: declared[low] > 0 && declared[high] > 0 ->
                    assert(termLength[high] >= declared[low] - 1);
                    assert(SAME_PREFIX(termLog[high], termLog[low], declared[low] - 1))
                :: else
                fi;
                high++
            :: else -> break
            od;
            low++
        :: else -> break
        od;
        low = 0;
        high = 0
    }
}

#ifdef READS
inline endRead()
{
    reading = false;
    readDone = true;
    readRan = false;
    readFits = false;
    readSeen = 0;
    readAfterTerm = 0;
    readAfterPosition = 0;
    readFloor = 0
}
#endif

inline appendEntry(d, t)
{
    db[d].log = db[d].log | ((t) << (BITS * db[d].length));
    db[d].length++;
    termLog[t] = db[d].log;
    termLength[t] = db[d].length
}

/* Records the answer to a fence order: term and position of the last entry. */
inline noteFence(d)
{
    if
    :: db[d].length == 0 -> seen[d] = 128
    :: else ->
#ifdef POSITION_ONLY
        seen[d] = 128 + db[d].length
#else
        seen[d] = 128 + 8 * ENTRY(db[d].log, db[d].length) + db[d].length
#endif
    fi
}

/* Selects any database for which the condition holds; blocks if there is none. */
#define CHOOSE(condition) \
    if \
    :: condition(0) -> d = 0 \
    :: condition(1) -> d = 1 \
    :: condition(2) -> d = 2 \
    fi

#define CAN_FENCE(d) (term > 0 && phase == FENCING && !seen[d] && ACCEPTS(d, term))
#define CAN_FOLLOW(d) (phase == PROMOTED && d != primary && ACCEPTS(d, term) && !(db[d].term == term && db[d].role == REPLICA))
#define CAN_CONFIRM(d) \
    (phase == PROMOTED && d != primary && CONFIRMS(d, term) && db[d].length >= barrier && db[d].length >= declared[term] \
     && declared[term] <= termLength[term])
#define CAN_READ(d) (reading && readBy == id && !readRan && phase == PROMOTED && READABLE(d, term) && db[d].length >= readFloor)
#define CAN_SEE(d) (reading && readBy == id && phase == PROMOTED && db[d].term == term && !SEEN(d))
#define CAN_REPLICATE(d) \
    (db[d].role == REPLICA && promotedIn[db[d].term] && (!db[d].inSync || db[d].length < termLength[db[d].term]))

proctype owner(byte id)
{
    byte term, phase, primary, barrier, d, low, high;
    byte seen[DATABASES];

end:
    do
    /* Takes the next term of its own range. */
    :: atomic {
        term + 2 <= TERMS || term == 0 ->
        if
        :: term == 0 -> term = id
        :: else -> term = term + 2
        fi;
#ifdef READS
        if
        :: reading && readBy == id -> endRead()
        :: else
        fi;
#endif
        phase = FENCING;
        primary = 0;
        barrier = 0;
        seen[0] = 0;
        seen[1] = 0;
        seen[2] = 0
    }
    /* Fences a database; the answer may be lost. */
    :: atomic {
        CHOOSE(CAN_FENCE);
        if
        :: db[d].term != term ->
            db[d].term = term;
            db[d].role = FENCED;
            db[d].inSync = false
        :: else
        fi;
        if
        :: noteFence(d)
        :: skip
        fi;
        d = 0
    }
    /* Promotes the database with the highest last entry once a quorum has answered. */
    :: atomic {
        term > 0 && phase == FENCING && (seen[0] > 0) + (seen[1] > 0) + (seen[2] > 0) >= FENCE_QUORUM ->
        primary = 0;
        if
        :: seen[1] > seen[primary] -> primary = 1
        :: else
        fi;
        if
        :: seen[2] > seen[primary] -> primary = 2
        :: else
        fi;
        if
        :: ACCEPTS(primary, term) && db[primary].role != PRIMARY ->
            assert(!promotedIn[term]);
            promotedIn[term] = true;
            db[primary].term = term;
            db[primary].role = PRIMARY;
            termLog[term] = db[primary].log;
            termLength[term] = db[primary].length;
#ifndef NO_BARRIER
            appendEntry(primary, term);
#endif
            barrier = db[primary].length;
            phase = PROMOTED
        :: else
        fi;
        seen[0] = 0;
        seen[1] = 0;
        seen[2] = 0
    }
    /* Orders a database to follow the new primary. */
    :: atomic {
        CHOOSE(CAN_FOLLOW);
        db[d].term = term;
        db[d].role = REPLICA;
        db[d].inSync = false;
        d = 0
    }
    /* A replica reports: its owner starts to serve once the barrier entry is confirmed, and declares done
     * everything that the report confirms. A delayed report can only confirm less. */
    :: atomic {
        CHOOSE(CAN_CONFIRM);
        declared[term] = db[d].length + 1;
        if
        :: declared[term] > termLength[term] + 1 -> declared[term] = termLength[term] + 1
        :: else
        fi;
        checkDeclared();
        d = 0
    }
    /* Executes a write on the owner's primary. */
    :: atomic {
        phase == PROMOTED && declared[term] > 0 && writesLeft > 0 && TAKES_WRITES(primary, term) ->
        writesLeft--;
        appendEntry(primary, term)
    }
#ifdef READS
    /* A read arrives: it must observe all entries that its session knows to be done. */
    :: atomic {
        !reading && !readDone && phase == PROMOTED && declared[term] > 0 ->
        high = TERMS;
        do
        :: declared[high] == 0 -> high--
        :: else -> break
        od;
#ifdef WITH_TOKEN
#ifndef NO_TOKEN_TERM
        if
        :: high > term -> high = 0
        :: else
        fi;
#endif
#endif
        if
        :: high == 0
        :: else ->
            reading = true;
            readBy = id;
            readSeen = 0;
            readRan = false;
            readAfterTerm = high;
            readAfterPosition = declared[high] - 1;
#ifdef WITH_TOKEN
            readFloor = readAfterPosition;
#else
            readFloor = declared[term] - 1;
#endif
#ifdef NO_FLOOR
            readFloor = 0;
#endif
        fi;
        high = 0
    }
    /* The read is executed on the primary or on a replica that has reached the floor. */
    :: atomic {
        CHOOSE(CAN_READ);
        readRan = true;
        readSeen = readSeen | (1 << d);
        readFits = (db[d].length >= readAfterPosition && SAME_PREFIX(db[d].log, termLog[readAfterTerm], readAfterPosition));
        d = 0
    }
    /* A database reports, after the arrival of the read, that it is still in the owner's term. */
    :: atomic {
        CHOOSE(CAN_SEE);
        readSeen = readSeen | (1 << d);
        d = 0
    }
    /* The owner answers once k + 1 databases have reported its term. */
    :: atomic {
        reading && readBy == id && readRan && ROUND_CONFIRMED ->
        assert(readFits);
        endRead()
    }
#endif
    od
}

/* Replication: a replica truncates the entries that its primary lacks, then receives entries one by one. */
proctype replication()
{
    byte d, keep, t;
end:
    do
    :: atomic {
        CHOOSE(CAN_REPLICATE);
        t = db[d].term;
        if
        :: !db[d].inSync ->
            keep = 0;
            do
            :: keep < db[d].length && keep < termLength[t] && ENTRY(db[d].log, keep + 1) == ENTRY(termLog[t], keep + 1) -> keep++
            :: else -> break
            od;
            db[d].log = PREFIX(db[d].log, keep);
            db[d].length = keep;
            db[d].inSync = true
        :: else ->
            db[d].log = PREFIX(termLog[t], db[d].length + 1);
            db[d].length++
        fi;
        d = 0;
        keep = 0;
        t = 0
    }
    od
}

init {
    atomic {
        run owner(1);
        run owner(2);
        run replication()
    }
}

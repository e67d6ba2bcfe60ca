/* Replies of a primary that may have been replaced without knowing it.
 *
 * Three databases; a replaced primary goes on as one until it steps down, which it may do at any time or never. Two instances claim
 * and order promotions through one claim object; an order may be carried out at any later time, also after newer ones. Two
 * instances write at the database that they believe to be primary and acknowledge a write only with evidence, requested after the
 * write had run, that no other database is a newer primary: a refusal of the other database, or, if that can't be reached, a claim
 * that counts no order for it that was not seen to take effect and was written without knowledge of a newer term. An instance may be frozen at any step: it then takes no further steps
 * for any time. Checked property: a write that is acknowledged was committed by the primary of the highest term.
 *
 * With LOSS the store returns once from an older copy: the claim is gone, while orders given under it may still be carried out. After
 * that a claim is evidence on a database only if that was seen not to be primary when no such order was left. One claimant and one
 * writer take part there: writers change nothing that others see, and a claim of the era before can't be replaced.
 *
 * Bounds and mutants are selected by preprocessor definitions; see tests.d/spec.sh.
 */
#ifndef PROMOTIONS
#define PROMOTIONS 2
#endif
#define DATABASES 3
#define NONE 255

bool primary[DATABASES];
byte term[DATABASES];
byte highest = 1;
byte promotions = 0;

byte successor = NONE;
/* Orders for a database that the claimants have not seen to take effect, the present one included. */
byte pending[DATABASES];
byte claimTerm = 0;
byte version = 0;

/* Orders that are not carried out yet, of the store's present era and of the one before. */
byte outstanding = 0;
byte outstandingBefore = 0;
byte era = 0;
bool seenSinceLoss[DATABASES];

/* A promotion of the database becomes effective: the platform carries out an order. */
inline promote(d) {
    d_step {
        if
        :: !primary[d] || term[d] < highest ->
            highest++;
            primary[d] = true;
            term[d] = highest
        :: else
        fi
    }
}

proctype order(byte d; byte ofEra) {
    promote(d);
#ifdef LOSS
    if
    :: atomic { ofEra == era -> outstanding-- }
    :: atomic { ofEra != era -> outstandingBefore-- }
    fi
#endif
}

#ifdef LOSS
proctype loss() {
    atomic {
        era = 1;
        outstandingBefore = outstanding;
        outstanding = 0;
        version++;
        successor = NONE;
        pending[0] = 0; pending[1] = 0; pending[2] = 0;
        claimTerm = 0
    }
}

/* Instances see databases that are not primary. */
proctype observer() {
    do
    :: d_step { era == 1 && outstandingBefore == 0 && !primary[0] && !seenSinceLoss[0] -> seenSinceLoss[0] = true }
    :: d_step { era == 1 && outstandingBefore == 0 && !primary[1] && !seenSinceLoss[1] -> seenSinceLoss[1] = true }
    :: d_step { era == 1 && outstandingBefore == 0 && !primary[2] && !seenSinceLoss[2] -> seenSinceLoss[2] = true }
    :: break
    od
}
#endif

/* Claims and orders the promotion of a database other than the one that it has seen to lead. */
proctype claimant() {
    byte seen;
    byte next;
    byte leads;
    byte leadsTerm;
    do
    :: promotions < PROMOTIONS ->
        /* What it knows is outdated as soon as it is known. */
        atomic {
            if
            :: primary[0] -> leads = 0
            :: primary[1] -> leads = 1
            :: primary[2] -> leads = 2
            fi;
            leadsTerm = term[leads]
        }
        if
        :: next = (leads + 1) % DATABASES
        :: next = (leads + 2) % DATABASES
        fi;
        seen = version;
        atomic {
            if
            :: seen == version && promotions < PROMOTIONS ->
                promotions++;
                version++;
#ifdef NO_UNSETTLED
                pending[0] = 0; pending[1] = 0; pending[2] = 0;
#endif
#ifdef ONE_UNSETTLED
                if
                :: successor != NONE ->
                    pending[(successor + 1) % DATABASES] = 0;
                    pending[(successor + 2) % DATABASES] = 0
                :: else
                fi;
#endif
                if
                :: successor == leads && leadsTerm > claimTerm && pending[successor] > 0 -> pending[successor]--
                :: else
                fi;
                pending[next]++;
                successor = next;
#ifdef CLAIM_TERM_OF_WRITER
                claimTerm = leadsTerm;
#else
                claimTerm = (leadsTerm > claimTerm -> leadsTerm : claimTerm);
#endif
                outstanding++;
                run order(next, era)
            :: else
            fi
        }
    :: else -> break
    od
}

/* A replaced primary learns of its replacement. */
proctype stepDown(byte d) {
    do
    :: atomic { primary[d] && term[d] < highest -> primary[d] = false }
    :: break
    od
}

/* Evidence that the database is no newer primary. Without any the write is not acknowledged; asking again is the same as asking later. */
inline evidence(d, at, mine) {
    if
#ifdef REFUSAL_WITH_TERM
    :: !primary[d] && term[d] <= mine
#else
    :: !primary[d]
#endif
    :: primary[d] && term[d] < mine
#ifndef NO_CLAIM_EVIDENCE
#if defined(LOSS) && !defined(LOSS_IGNORED)
#define COMPLETE (era == 0 || seenSinceLoss[d])
#else
#define COMPLETE true
#endif
#if defined(CLAIM_NAMES_IGNORED)
    :: COMPLETE && claimTerm <= mine
#elif defined(CLAIM_TERM_IGNORED)
    :: COMPLETE && pending[d] == 0
#else
    :: COMPLETE && successor == NONE
    :: COMPLETE && pending[d] == 0 && successor != at && claimTerm <= mine
    :: COMPLETE && pending[d] == 0 && successor == at && claimTerm < mine
#endif
#endif
    :: else -> goto done
    fi
}

proctype writer() {
    byte at;
    byte mine;
    bool newest;
    if
    :: at = 0
    :: at = 1
    :: at = 2
    fi;
    atomic {
        if
        :: primary[at] -> skip
        :: else -> goto done
        fi;
        mine = term[at];
#ifndef EVIDENCE_BEFORE
        newest = (term[at] == highest);
#endif
    }
#ifndef NO_EVIDENCE
    evidence((at + 1) % DATABASES, at, mine);
#ifndef ONE_EVIDENCE
    evidence((at + 2) % DATABASES, at, mine);
#endif
#endif
#ifdef EVIDENCE_BEFORE
    atomic {
        if
        :: primary[at] && term[at] == mine -> skip
        :: else -> goto done
        fi;
        newest = (term[at] == highest);
    }
#endif
    assert(newest);
done:
    skip
}

init {
    atomic {
        primary[0] = true;
        term[0] = 1;
        run claimant();
#ifndef LOSS
        run claimant();
#endif
        run stepDown(0);
        run writer()
#if !defined(LOSS) && !defined(ONE_WRITER)
        ;
        run writer()
#endif
#ifdef LOSS
        ;
        run loss();
        run observer()
#endif
    }
}

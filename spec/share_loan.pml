/* A member's share of the limits of workspaces, which is lent to one pool at a time (mustardrouter/Workspaces/limit_lender.cpp and
 * limit_pool.cpp). Two instances take themselves for the pool. Messages are delivered at most once, in any order, at any time or never.
 * A loan lasts LOAN ticks: for the pool from the time of its poll, for the member from the receipt of the poll. Either may be restarted
 * at the same address. The share must never be used by both pools.
 *
 * Protections that can be removed: FROM_RECEIPT (the pool counts from the receipt of the answer), LENT_TWICE (the member does not look
 * whether the share is lent), OWNED_AT_ONCE (a restarted member does not wait for the loans of its predecessor), RETURN_OF_ANY (a
 * return ends later loans too), USED_AFTER_RETURN (answers to polls before a return are used), OLD_ANSWERS (a restarted pool uses
 * answers to polls of its predecessor). */

#ifndef LOAN
#define LOAN 2
#endif
#ifndef END
#define END 5
#endif
#define NONE 2

/* Polls of each pool; each returns a loan at most once. */
#ifndef POLLS
#define POLLS 2
#endif

typedef by_stamp {
    bit at[END + 1]
}

/* Stamps are ticks from 1 on; each pool polls at most once in a tick. */
by_stamp polls[2];
by_stamp answers[2];
by_stamp returns[2];

byte now = 1;
bit polled[2];

/* The member. */
byte lent = NONE;
byte lentUntil;
byte lentStamp;
byte ownedFrom;
byte memberRestarts;

/* The pools. */
byte usedUntil[2];
byte returnedUpTo[2];
byte lastPoll[2];
byte pollCount[2];
bit returned[2];
byte acceptFrom[2];
byte poolRestarts;

inline check()
{
    assert(!(now < usedUntil[0] && now < usedUntil[1]))
}

inline handlePoll(p, s)
{
    polls[p].at[s] = 0;
    if
#ifdef LENT_TWICE
    :: now >= ownedFrom ->
#else
    :: now >= ownedFrom && (lent == p || now >= lentUntil) ->
#endif
        if
        :: lent == p && lentStamp > s -> skip
        :: else -> lentStamp = s
        fi;
        lent = p;
        lentUntil = now + LOAN;
        answers[p].at[s] = 1
    :: else -> skip
    fi
}

inline handleAnswer(p, s)
{
    answers[p].at[s] = 0;
    if
#ifdef USED_AFTER_RETURN
    :: s >= acceptFrom[p] ->
#else
    :: s >= acceptFrom[p] && s > returnedUpTo[p] ->
#endif
#ifdef FROM_RECEIPT
        usedUntil[p] = now + LOAN
#else
        if
        :: s + LOAN > usedUntil[p] -> usedUntil[p] = s + LOAN
        :: else -> skip
        fi
#endif
    :: else -> skip
    fi
}

inline handleReturn(p, s)
{
    returns[p].at[s] = 0;
    if
#ifdef RETURN_OF_ANY
    :: lent == p && lentUntil > now -> lentUntil = now
#else
    :: lent == p && lentStamp <= s && lentUntil > now -> lentUntil = now
#endif
    :: else -> skip
    fi
}

inline poolStep(p, s)
{
    if
    :: !polled[p] && pollCount[p] < POLLS -> polls[p].at[now] = 1; lastPoll[p] = now; polled[p] = 1; pollCount[p]++
    :: now < usedUntil[p] && lastPoll[p] > 0 && !returned[p] ->
        returned[p] = 1;
        usedUntil[p] = 0; returnedUpTo[p] = lastPoll[p]; returns[p].at[lastPoll[p]] = 1
    :: poolRestarts < 1 ->
        poolRestarts++;
        usedUntil[p] = 0; returnedUpTo[p] = 0; lastPoll[p] = 0; polled[p] = 1;
#ifndef OLD_ANSWERS
        acceptFrom[p] = now + 1
#else
        skip
#endif
    :: else -> skip
    fi
}

active proctype world()
{
    byte p;
    byte s;
    do
    :: d_step {
        now < END -> now++; polled[0] = 0; polled[1] = 0;
        if
        :: usedUntil[0] <= now -> usedUntil[0] = 0
        :: else -> skip
        fi;
        if
        :: usedUntil[1] <= now -> usedUntil[1] = 0
        :: else -> skip
        fi;
#ifndef FROM_RECEIPT
        /* Answers that are too late to be used are the same as lost ones. */
        if
        :: now > LOAN -> answers[0].at[now - LOAN] = 0; answers[1].at[now - LOAN] = 0
        :: else -> skip
        fi;
#endif
        check()
       }
    :: atomic { p = 0; poolStep(p, s); p = 0; s = 0; check() }
    :: atomic { p = 1; poolStep(p, s); p = 0; s = 0; check() }
    :: atomic {
        memberRestarts < 1 -> memberRestarts++; lent = NONE; lentUntil = 0; lentStamp = 0;
#ifndef OWNED_AT_ONCE
        ownedFrom = now + LOAN
#endif
       }
    :: atomic {
        if
        :: p = 0
        :: p = 1
        fi;
        s = 1;
        do
        :: s < now -> s++
        :: break
        od;
        if
        :: polls[p].at[s] -> handlePoll(p, s)
        :: answers[p].at[s] -> handleAnswer(p, s)
        :: returns[p].at[s] -> handleReturn(p, s)
        :: else -> skip
        fi;
        p = 0; s = 0; check()
       }
    :: now == END -> break
    od
}

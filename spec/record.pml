/* The ownership record of one group and the terms that its owner and deputy use.
 *
 * Two instances, each of which may crash and restart under a new name. The platform applies an
 * update only if the stored version is the one that the update expects. It may do so at any time after
 * the update was sent, even after the sender's timeout; the answer may be lost. During an outage the
 * platform does not answer. Checked property: no term is ever taken twice.
 */
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef LIVES
#define LIVES 1
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#define RANGE 2
#define MAX_TERM 32
#define NONE 255

typedef ownership {
    byte version;
    byte owner;
    byte deputy;
    byte first;
}
ownership stored;
bool platformUp = true;
byte outagesLeft = OUTAGES;
bool taken[MAX_TERM];
byte name[2];

#ifdef SHARED_RANGE
#define DEPUTY_FIRST(record) (record.first)
#else
#define DEPUTY_FIRST(record) (record.first + RANGE)
#endif
#ifdef NO_CONDITION
#define VERSION_FITS(update) true
#else
#define VERSION_FITS(update) (stored.version == update.version - 1)
#endif
#define TERM_AFTER(floor) ((floor) > term -> (floor) : term + 1)

#define COPY_RECORD(to, from) \
    to.version = from.version; \
    to.owner = from.owner; \
    to.deputy = from.deputy; \
    to.first = from.first

/* Takes the next term of a range, if any is left. */
inline takeTerm(rangeStart)
{
    candidate = TERM_AFTER(rangeStart);
    if
    :: candidate < rangeStart + RANGE ->
        term = candidate;
        last = rangeStart + RANGE - 1;
        assert(!taken[term]);
        taken[term] = true
    :: else
    fi;
    candidate = 0
}

/* Prepares an update that claims ownership with ranges above all known terms. */
inline prepareUpdate()
{
    update.version = known.version + 1;
    update.owner = name[id];
    update.deputy = name[1 - id];
#ifdef REUSED_RANGES
    update.first = term + 1;
#else
    update.first = (known.version == 0 -> term + 1 : TERM_AFTER(known.first + 2 * RANGE));
#endif
    sent = true
}

proctype instance(byte id)
{
    ownership known, update;
    byte term, last, candidate, lives = LIVES;
    bool sent;
end:
    do
    /* Reads the record; this also resolves an update whose answer was lost. */
    :: atomic { platformUp && !sent && known.version != stored.version -> COPY_RECORD(known, stored) }
    /* Sends a conditional update. */
    :: atomic { !sent && known.version < VERSIONS -> prepareUpdate() }
    /* The platform applies the update; the answer arrives or is lost. */
    :: atomic {
        sent && platformUp && VERSION_FITS(update) ->
        COPY_RECORD(stored, update);
        sent = false;
        if
        :: true ->
            COPY_RECORD(known, update);
            takeTerm(known.first)
        :: skip
        fi
    }
    /* The update is rejected or lost. */
    :: atomic { sent -> sent = false }
    /* Acts as the owner of the record, or as its deputy when the owner is suspected. */
    :: atomic { known.version > 0 && known.owner == name[id] && last < known.first -> takeTerm(known.first) }
    :: atomic { known.version > 0 && known.deputy == name[id] && last < DEPUTY_FIRST(known) -> takeTerm(DEPUTY_FIRST(known)) }
    /* Moves the primary, which starts the next term. */
    :: atomic { term > 0 && term < last -> takeTerm(last + 1 - RANGE) }
    /* Crashes and restarts without any state. */
    :: atomic {
        lives > 0 && !sent ->
        lives--;
        term = 0;
        last = 0;
        known.version = 0;
        known.owner = NONE;
        known.deputy = NONE;
        known.first = 0;
        update.version = 0;
        update.owner = 0;
        update.deputy = 0;
        update.first = 0;
#ifndef NAME_KEPT
        name[id] = name[id] + 2
#endif
    }
    od
}

proctype outage()
{
end:
    do
    :: atomic { platformUp && outagesLeft > 0 -> outagesLeft--; platformUp = false }
    :: atomic { !platformUp -> platformUp = true }
    od
}

init {
    atomic {
        name[0] = 0;
        name[1] = 1;
        stored.owner = NONE;
        stored.deputy = NONE;
        run instance(0);
        run instance(1);
        run outage()
    }
}

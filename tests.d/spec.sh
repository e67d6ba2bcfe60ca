#!/usr/bin/env bash
# Checks the models in spec/ exhaustively with Spin, then mutants with one protection removed each: the models must hold, and
# every mutant must violate an assertion.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
failures=0
searches=0

# Sets `verdict` to "holds", "violated" or "unfinished", and `states` to the number of stored states.
search() { # model definitions...
    local model=$1
    shift
    local folder="$scratch/$((searches += 1))"
    mkdir "$folder"
    (cd "$folder" && spin -a "$@" "$root/spec/$model.pml" >spin.log 2>&1 &&
        gcc -O1 -w -DSAFETY -DMEMLIM=4000 -o pan pan.c && ./pan -m1000000 -w24 >pan.log 2>&1)
    local log="$folder/pan.log"
    states=$(grep -oE '[0-9.e+]+ states, stored' "$log" | cut -d' ' -f1)
    if grep -qE '^pan:1: assertion violated' "$log"; then
        verdict=violated
    elif grep -q 'errors: 0' "$log" && ! grep -qE 'Search not completed|max search depth too small' "$log"; then
        verdict=holds
    else
        verdict=unfinished
        cat "$folder/spin.log" "$log" 2>/dev/null
    fi
    rm -rf "$folder"
}

expect() { # verdict label model definitions...
    local wanted=$1
    local label=$2
    shift 2
    search "$@"
    echo "$label ($*): $verdict, ${states:-no} states"
    [ "$verdict" = "$wanted" ] && return
    echo "  expected: $wanted"
    failures=$((failures + 1))
}

echo "bounds: 3 databases, 2 owners, 1 confirming replica; 4 terms and 2 writes, with reads 3 terms and 1 write;"
echo "        records of 3 versions, 2 instances of 2 lives each, 1 outage;"
echo "        replaced primaries: 3 databases, 2 claimants, 2 writers, 2 promotions;"
echo "        shares: 2 pools, 1 member, 5 ticks, 2 polls and 1 return of each pool, loans of 2, 1 restart of the member and 1 of a pool"
expect holds "writes" promotion -DTERMS=4 -DWRITES=2
expect holds "reads without a token" promotion -DTERMS=3 -DREADS
expect holds "reads with a token" promotion -DTERMS=3 -DREADS -DWITH_TOKEN
expect holds "ownership record" record
expect holds "replaced primary that goes on" replaced_primary
expect holds "replaced primary, three promotions, refusals that tell a term" replaced_primary -DPROMOTIONS=3 -DONE_WRITER -DREFUSAL_WITH_TERM
expect holds "replaced primary, and the store loses its claim" replaced_primary -DLOSS

expect holds "share of a limit that is lent" share_loan

expect violated "no term check" promotion -DTERMS=4 -DNO_TERM_CHECK
expect violated "one answer is enough to promote" promotion -DTERMS=4 -DNO_QUORUM_RULE
expect violated "a confirmation of any term counts" promotion -DTERMS=4 -DCONFIRM_ANY_TERM
expect violated "a tail that was not dropped confirms" promotion -DTERMS=4 -DCONFIRM_TAIL
expect violated "highest position, whatever its term" promotion -DTERMS=4 -DPOSITION_ONLY
expect violated "no barrier" promotion -DTERMS=4 -DWRITES=2 -DNO_BARRIER
expect violated "reads are not confirmed" promotion -DTERMS=3 -DREADS -DUNCONFIRMED_READ
expect violated "the replica that served confirms its own read" promotion -DTERMS=3 -DREADS -DROUND_OF_REPLICAS
expect violated "no floor after a takeover" promotion -DTERMS=3 -DREADS -DNO_FLOOR
expect violated "a token's higher term is ignored" promotion -DTERMS=3 -DREADS -DWITH_TOKEN -DNO_TOKEN_TERM
expect violated "a token's floor is ignored" promotion -DTERMS=3 -DREADS -DWITH_TOKEN -DNO_FLOOR
expect violated "a replica with a tail serves reads" promotion -DTERMS=3 -DREADS -DREAD_TAIL
expect violated "unconditional update of the record" record -DNO_CONDITION
expect violated "owner and deputy share a range" record -DSHARED_RANGE
expect violated "a new record may reuse ranges" record -DREUSED_RANGES
expect violated "a restarted instance keeps its name" record -DNAME_KEPT

expect violated "no evidence" replaced_primary -DNO_EVIDENCE
expect violated "evidence of one other database" replaced_primary -DONE_EVIDENCE
expect violated "evidence requested before the write ran" replaced_primary -DEVIDENCE_BEFORE
expect violated "a claim that names the database counts as evidence" replaced_primary -DCLAIM_NAMES_IGNORED
expect violated "a claim whose writer knew a newer term counts as evidence" replaced_primary -DCLAIM_TERM_IGNORED
expect violated "an earlier claim is forgotten" replaced_primary -DNO_UNSETTLED
expect violated "a claim remembers one unsettled order" replaced_primary -DPROMOTIONS=3 -DONE_WRITER -DREFUSAL_WITH_TERM -DONE_UNSETTLED
expect violated "a claim has the term that its writer knows" replaced_primary -DPROMOTIONS=3 -DONE_WRITER -DREFUSAL_WITH_TERM -DCLAIM_TERM_OF_WRITER
expect violated "a claim that the store lost counts as none" replaced_primary -DLOSS -DLOSS_IGNORED

expect violated "a pool uses a loan from the receipt of the answer on" share_loan -DFROM_RECEIPT
expect violated "a member lends a share that is lent" share_loan -DLENT_TWICE
expect violated "a restarted member does not wait for loans of before" share_loan -DOWNED_AT_ONCE
expect violated "a return ends later loans" share_loan -DRETURN_OF_ANY
expect violated "a pool uses answers to polls before its return" share_loan -DUSED_AFTER_RETURN
expect violated "a restarted pool uses answers of before" share_loan -DOLD_ANSWERS

echo "$searches searches, $failures unexpected"
[ "$failures" = 0 ]

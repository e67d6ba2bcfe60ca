#!/usr/bin/env bash
# After two of three databases are killed, the group must refuse work with the cause no_quorum, and serve again only after
# an operator forces a promotion that names every lost database.
set -euo pipefail
. tests.d/lib/one_group.bash

session=$work/session
expect 'outcome: done' "$(call 0 --session "$session" "INSERT INTO lines VALUES(1, 'kept')")"
owner=$(owner_of_group)
primary=$("$program" status --json --control "${controls[$owner]}" --key secret | grep -oE '"primary" *: *"db-[0-9]"' | grep -oE '[0-9]')
stays=$((primary % 3 + 1))
lost=$((6 - primary - stays))
eval "kill -9 \$pid_database$primary"
eval "kill -9 \$pid_database$lost"

status_of_owner() {
    "$program" status --json --control "${controls[$(owner_of_group)]}" --key secret
}
# A new owner detects within a second that it has no quorum.
expect_no_quorum() {
    local status=""
    for _ in $(seq 100); do
        status=$(status_of_owner || true)
        if grep -q 'no_quorum' <<<"$status"; then return 0; fi
        sleep 0.05
    done
    expect 'no_quorum' "$status"
}
expect_no_quorum
# Every call is refused. One that arrives while ownership moves may fail because no owner answered; a later one gets the
# actual cause.
for _ in $(seq 5); do
    refusal=$(timeout 20 "$program" call --entry "${entries[0]}" --service scripts --deadline-ms 1000 "INSERT INTO lines VALUES(2, 'refused')" || true)
    expect 'outcome: not_run' "$refusal" >/dev/null
    if grep -q 'no_quorum' <<<"$refusal"; then break; fi
done
expect 'outcome: not_run \(no_quorum' "$refusal"

# Without a quorum the owner resigns after a timeout, so that an instance that reaches more databases can take over.
# Therefore the operator passes all instances, and the command finds the current owner.
all=()
for control in "${controls[@]}"; do
    all+=(--control "$control")
done
echo "a forced promotion that does not name every lost database must be refused"
timeout 3 "$program" failover scripts-1 "${all[@]}" --key secret --give-up "db-$primary" >/dev/null 2>&1 && { echo "it was accepted"; exit 1; }
expect_no_quorum

echo "a forced promotion that names every lost database restores service"
timeout 20 "$program" failover scripts-1 "${all[@]}" --key secret --give-up "db-$primary" --give-up "db-$lost"
expect 'outcome: done' "$(call 1 "INSERT INTO lines VALUES(3, 'after')")"
expect '^after$' "$(call 2 --read latest 'SELECT body FROM lines WHERE id = 3')"
echo "all checks passed"

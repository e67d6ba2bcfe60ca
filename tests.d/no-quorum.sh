#!/usr/bin/env bash
# Two of three databases are killed: the group stops, the status says why, and only an operator who names
# what is given up gets it served again.
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
for _ in $(seq 100); do
    if status_of_owner | grep -q 'no_quorum'; then break; fi
    sleep 0.05
done
expect 'no_quorum' "$(status_of_owner)" >/dev/null
expect 'outcome: not_run \(no_quorum' "$(timeout 20 "$program" call --entry "${entries[0]}" --service scripts --deadline-ms 1000 "INSERT INTO lines VALUES(2, 'refused')" || true)"

owner=$(owner_of_group)
echo "a forced promotion that leaves out a database changes nothing"
timeout 3 "$program" failover scripts-1 --control "${controls[$owner]}" --key secret --give-up "db-$primary" >/dev/null 2>&1 || true
expect 'no_quorum' "$(status_of_owner)" >/dev/null

echo "one that names all that are gone serves the group again"
owner=$(owner_of_group)
timeout 20 "$program" failover scripts-1 --control "${controls[$owner]}" --key secret --give-up "db-$primary" --give-up "db-$lost"
expect 'outcome: done' "$(call 1 "INSERT INTO lines VALUES(3, 'after')")"
expect '^after$' "$(call 2 --read latest 'SELECT body FROM lines WHERE id = 3')"
echo "every step held"

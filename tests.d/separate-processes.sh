#!/usr/bin/env bash
# Runs the whole path as separate processes: platform, one group of three databases, three instances. Checks a session that
# moves between entries, the loss of the primary and of an owner, and a graceful shutdown of an instance.
set -euo pipefail
. tests.d/lib/one_group.bash

session=$work/session
expect 'outcome: done' "$(call 0 --session "$session" --non-idempotent --key k1 "INSERT INTO lines VALUES(1, 'first')")"
expect '^first$' "$(call 1 --session "$session" 'SELECT body FROM lines WHERE id = 1')"
expect '^first$' "$(call 2 --read latest 'SELECT body FROM lines WHERE id = 1')"
expect 'duplicate_key' "$(call 1 --non-idempotent --key k1 "INSERT INTO lines VALUES(1, 'first')" || true)"
expect '^1$' "$(call 2 --read latest 'SELECT count(*) FROM lines')"

# Refused requests are always traced; others only after a trace has been requested.
timeout 20 "$program" call --entry "${entries[1]}" --service nosuch 'SELECT 1' >/dev/null || true
expect 'unknown_service' "$("$program" trace --control "${controls[1]}" --key secret --service nosuch --outcome not_run)"
"$program" trace --control "${controls[2]}" --key secret >/dev/null
call 2 'SELECT 1' >/dev/null
traced=$("$program" trace --control "${controls[2]}" --key secret --outcome done)
expect 'scripts done' "$traced"
expect "owner's queue" "$traced"
expect 'database db-[0-9]: ' "$traced"
expect 'confirmation' "$traced"

owner=""
for n in 0 1 2; do
    if "$program" status --json --control "${controls[$n]}" --key secret | grep -q '"role" : "owner"'; then owner=$n; fi
done
[ -n "$owner" ]
if "$program" status --control "${controls[0]}" --key wrong >/dev/null 2>&1; then
    echo "the control interface accepted a wrong key"
    exit 1
fi
primary=$("$program" status --json --control "${controls[$owner]}" --key secret | sed -nE 's/.*"primary" : "db-([0-9])".*/\1/p' | head -n 1)
echo "owner is instance $((owner + 1)), primary is db-$primary; killing the primary"
eval "kill -9 \$pid_database$primary"
expect 'outcome: done' "$(call 0 --session "$session" "INSERT INTO lines VALUES(2, 'second')")"
expect '^second$' "$(call 1 --session "$session" 'SELECT body FROM lines WHERE id = 2')"

echo "killing the owner"
eval "kill -9 \$pid_instance$((owner + 1))"
other=$(((owner + 1) % 3))
third=$(((owner + 2) % 3))
expect 'outcome: done' "$(call $other --session "$session" "INSERT INTO lines VALUES(3, 'third')")"
expect '^3$' "$(call $third --session "$session" 'SELECT count(*) FROM lines')"

echo "shutting the new owner down"
for n in $other $third; do
    if "$program" status --json --control "${controls[$n]}" --key secret | grep -q '"role" : "owner"'; then leaving=$n; fi
done
stays=$((other + third - leaving))
eval "leaving_pid=\$pid_instance$((leaving + 1))"
kill -TERM "$leaving_pid"
status=0
wait "$leaving_pid" || status=$?
[ "$status" = 0 ] || { echo "graceful shutdown ended with $status"; cat "$work/instance$((leaving + 1)).err"; exit 1; }
expect '^3$' "$(call $stays --session "$session" 'SELECT count(*) FROM lines')"
echo "all checks passed"

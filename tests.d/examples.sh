#!/usr/bin/env bash
# The example configurations must pass `check`; a broken one must be rejected with all its problems listed.
set -euo pipefail
for user in kovacik granite-notch; do
    ./build/mustardrouter check -f "examples/$user/configuration"
done
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cp examples/kovacik/configuration/*.json "$folder"
rm "$folder/places.json"
sed -i 's/"own-work", *$/"own-work",/; s/"deadlineMs": "5000"/"deadlineMs": "0"/' "$folder/policies.json"
status=0
./build/mustardrouter check -f "$folder" >"$folder/out" 2>"$folder/err" || status=$?
cat "$folder/err"
[ "$status" = 2 ]
[ "$(grep -c missing_reference "$folder/err")" = 9 ]
[ "$(grep -c 'deadlineMs: limit_out_of_range' "$folder/err")" = 2 ]

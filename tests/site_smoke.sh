#!/usr/bin/env bash
# `cobaltshift site` as a person uses it: exit codes and complaints. States and orders with keepers: `cobaltshift-lab sites`.
#   tests/site_smoke.sh PROGRAM DEPLOY_FOLDER
set -euo pipefail
program=$1
example=$2/sites.example.toml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() { echo "site_smoke: $*" >&2; exit 1; }
expect() { # CODE COMMAND...
    local code=0
    "${@:2}" >"$work/out" 2>"$work/err" || code=$?
    [ "$code" = "$1" ] || fail "${*:2}: exit code $code, not $1: $(cat "$work/err")"
}
expect 0 "$program" site plan check "$example"
grep -q '^north ' "$work/out" || fail "no row for the loss of north"
expect 1 "$program" site plan check --pairs "$example"
grep -q 'lost north + midlands: .* of the kept class listen from north would be refused' "$work/err" || fail "no complaint"
expect 0 "$program" site plan check --json "$example"
grep -q '"return_ms": 30000' "$work/out" || fail "no time of the return"
sed 's/round_trip_ms = 9/round_trip_ms = -9/' "$example" >"$work/bad.toml"
expect 2 "$program" site plan check "$work/bad.toml"
grep -q "bad.toml:[0-9]*: distance.round_trip_ms is not between" "$work/err" || fail "$(cat "$work/err")"
expect 2 "$program" site plan check "$work/none.toml"
expect 2 "$program" site
echo '# nothing' >"$work/our.toml"
expect 2 "$program" site status --settings "$work/our.toml"
grep -q 'keepers.addresses is missing' "$work/err" || fail "$(cat "$work/err")"
printf '[keepers]\naddresses = ["127.0.0.9:1", "127.0.0.9:2", "127.0.0.9:3"]\n' >"$work/our.toml"
expect 2 "$program" site lead --settings "$work/our.toml"
grep -q 'site is missing' "$work/err" || fail "$(cat "$work/err")"
expect 1 "$program" site status --settings "$work/our.toml" --within 300ms
expect 1 "$program" site drain north --settings "$work/our.toml" --within 300ms
expect 2 "$program" site drain 'no/rth' --settings "$work/our.toml"
echo "site_smoke: all as it should be"

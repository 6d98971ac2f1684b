#!/usr/bin/env bash
# Keepers and `cobaltshift lease` as a person uses them: exit codes, the command's end, members.
#   tests/lease_smoke.sh PROGRAM
set -euo pipefail
program=$1
work=$(mktemp -d)
keepers=()
runners=()  # stopped or waited for: whichever way this ends, they may not keep it from ending
cleanup() {
    for pid in "${keepers[@]}" "${runners[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
fail() { echo "lease_smoke: $*" >&2; exit 1; }
expect() { # CODE COMMAND...
    local code=0
    "${@:2}" || code=$?
    [ "$code" = "$1" ] || fail "${*:2}: exit code $code, not $1"
}
echo "a secret of enough bytes" >"$work/secret"
# Ports of this process's own number, three each: another run beside it has others.
base=$((20000 + 3 * ($$ % 4000)))
for n in 0 1 2; do
    mkdir "$work/folder$n"
    cat >"$work/$n.toml" <<T
[keepers]
addresses = ["127.0.0.5:$base", "127.0.0.5:$((base + 1))", "127.0.0.5:$((base + 2))"]
secret_file = "$work/secret"
margin_ms = 100
[keeper]
number = $n
fleet = "smoke"
folder = "$work/folder$n"
heartbeat_ms = 50
election_ms = 400
T
    "$program" keeper found --settings "$work/$n.toml" 2>/dev/null
    expect 1 "$program" keeper found --settings "$work/$n.toml" 2>/dev/null
done
start() { "$program" keeper --settings "$work/$1.toml" 2>>"$work/log$1" & keepers[$1]=$!; }
for n in 0 1 2; do start "$n"; done
s=(--settings "$work/0.toml")
run=("$program" lease run)

# The command's own exit code, and what it is told.
expect 7 "${run[@]}" job "${s[@]}" --length 2s -- sh -c '[ "$COBALTSHIFT_TASK" = job ] && [ "$COBALTSHIFT_FENCE" -gt 0 ] && exit 7'
expect 127 "${run[@]}" job "${s[@]}" --length 2s -- "$work/no such program" 2>/dev/null
expect 137 "${run[@]}" job "${s[@]}" --length 2s -- sh -c 'kill -KILL $$'
expect 2 "${run[@]}" job "${s[@]}" --length 1ms -- true 2>/dev/null
expect 2 "${run[@]}" job --settings "$work/none.toml" -- true 2>/dev/null

# What one leaves the next one finds; nobody leaves anything under a right that is over.
expect 0 "${run[@]}" job "${s[@]}" --length 2s -- sh -c "'$program' lease note job 'page 7' --settings '$work/0.toml'"
expect 0 "${run[@]}" job "${s[@]}" --length 2s -- sh -c '[ "$COBALTSHIFT_NOTE" = "page 7" ]'
"$program" lease show job "${s[@]}" --json | grep -q '"note": "page 7"' || fail "lease show of a note"
expect 76 "$program" lease note job "page 6" --fence 1 "${s[@]}" 2>/dev/null
expect 2 "$program" lease note job "two
lines" --fence 1 "${s[@]}" 2>/dev/null

# Held by one, refused to another; revoked, its command is ended.
mkfifo "$work/began"
"${run[@]}" job "${s[@]}" --length 2s --name one -- sh -c "echo > '$work/began'; exec sleep 60" 2>/dev/null &
one=$!
runners+=("$one")
read -r <"$work/began"
"$program" lease show job "${s[@]}" --json | grep -q '"holder": "one"' || fail "lease show"
"$program" lease list "${s[@]}" | grep -q '^job .*held' || fail "lease list"
expect 75 "${run[@]}" job "${s[@]}" --no-wait --length 2s -- true 2>/dev/null
expect 75 "${run[@]}" job "${s[@]}" --wait 300ms --length 2s -- true 2>/dev/null
"$program" lease revoke job "${s[@]}" >/dev/null
code=0; wait "$one" || code=$?
runners=()
[ "$code" = 76 ] || fail "revoked: exit code $code"
expect 1 "$program" lease revoke nothing "${s[@]}" 2>/dev/null

# The runner stopped: another gets the right, and the guard ends the command, whose end of the pipe closes with
# it. Which of the two this script sees first is the machine's affair: that no two act is what
# `cobaltshift-lab leases` holds, at the target.
"${run[@]}" job "${s[@]}" --length 1s --name stopped -- sh -c "exec 3>'$work/began'; echo began >&3; exec sleep 600" 2>/dev/null &
runner=$!
runners+=("$runner")
exec 4<"$work/began"
read -r _ <&4
kill -STOP "$runner"
expect 0 "${run[@]}" job "${s[@]}" --length 2s -- true
code=0; read -r -t 60 _ <&4 || code=$?
[ "$code" = 1 ] || fail "the command of a stopped runner lives on"
exec 4<&-
kill -CONT "$runner"
code=0; wait "$runner" || code=$?
runners=()
[ "$code" = 76 ] || fail "stopped past its right: exit code $code"

# A keeper is taken out and comes back with an empty folder; a majority is missed.
expect 0 "$program" keeper status "${s[@]}" >/dev/null
leader=$("$program" keeper status "${s[@]}" | awk '$3 == "leader" {print $1}')
other=$(((leader + 1) % 3)); third=$(((leader + 2) % 3))
kill "${keepers[$other]}"; wait "${keepers[$other]}" || fail "a keeper's planned stop"
expect 0 "$program" keeper remove "$other" "${s[@]}" >/dev/null
rm -r "$work/folder$other"; mkdir "$work/folder$other"
start "$other"
expect 0 "$program" keeper add "$other" "${s[@]}" --within 20s >/dev/null
kill -KILL "${keepers[$other]}" "${keepers[$third]}"
wait "${keepers[$other]}" "${keepers[$third]}" 2>/dev/null || true
expect 75 "${run[@]}" job "${s[@]}" --wait 500ms --length 1s -- true 2>/dev/null
start "$other"; start "$third"
expect 0 "${run[@]}" job "${s[@]}" --length 1s -- true
echo "lease_smoke: all as it should be"

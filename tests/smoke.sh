#!/usr/bin/env bash
# Starts the real program as it is deployed: ready on its own address, plain about bad configuration, and gone
# with status 0 after SIGTERM.
#   tests/smoke.sh PROGRAM
set -euo pipefail
program=$1
folder=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill -9 "$pid" 2>/dev/null || true; rm -rf "$folder"' EXIT

status=0
NODE_CONFIG= "$program" 2>"$folder/complaint" || status=$?
[ "$status" = 2 ] && grep -q NODE_CONFIG "$folder/complaint"

for words in --bogus "serve now" planner "planner --settings $folder/nowhere" "--settings $folder/nowhere"; do
    status=0
    # shellcheck disable=SC2086
    "$program" $words 2>"$folder/complaint" || status=$?
    [ "$status" = 2 ] && [ "$(wc -l <"$folder/complaint")" = 1 ]
done
"$program" --version | grep -q '^cobaltshift [0-9]'
"$program" --help | grep -q planner

printf '[planner]\nlisten = "127.0.0.1:0"\ndiscovery = "127.0.0.1:1"\n' >"$folder/planner.toml"
"$program" planner --settings "$folder/planner.toml" 2>"$folder/log" &
pid=$!
for _ in $(seq 100); do
    grep -q 'listens on' "$folder/log" && break
    sleep 0.1
done
grep -q 'listens on' "$folder/log"
kill -TERM "$pid"
wait "$pid"
pid=

echo '# nothing but defaults' >"$folder/our.toml"
for port in 21731 22731 23731 24731; do
    cat >"$folder/config.json" <<JSON
{"name":"n0","listen":"127.0.0.1:$port","discovery":"127.0.0.1:1","seed":"1f",
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"SERVING"}]},
 "settings":{"classes":[{"name":"listen","effect":"repeatable","on-time-ms":400}]}}
JSON
    NODE_CONFIG="$folder/config.json" "$program" serve --settings "$folder/our.toml" 2>"$folder/log" &
    pid=$!
    for _ in $(seq 100); do
        if exec 3<>"/dev/tcp/127.0.0.1/$port"; then break; fi 2>/dev/null
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.1
    done
    kill -0 "$pid" 2>/dev/null && break
    wait "$pid" || true  # the port was taken: try another
done
printf 'GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
head -1 <&3 | grep -q '^HTTP/1.1 200'
exec 3>&-
sed -i 's/"discovery":"127.0.0.1:1"/"discovery":"127.0.0.1:2"/' "$folder/config.json"
kill -HUP "$pid"
for _ in $(seq 100); do
    grep -q 'discovery moves' "$folder/log" && break
    sleep 0.1
done
grep -q 'discovery moves' "$folder/log"
# A bad file changes nothing, also of what the good one says, and is named.
echo 'bogus = 1' >"$folder/our.toml"
sed -i 's/"discovery":"127.0.0.1:2"/"discovery":"127.0.0.1:3"/' "$folder/config.json"
kill -HUP "$pid"
for _ in $(seq 100); do
    grep -q 'stays in force' "$folder/log" && break
    sleep 0.1
done
grep -q 'stays in force: .*our.toml:1: bogus is not known' "$folder/log"
[ "$(grep -c 'discovery moves' "$folder/log")" = 1 ]
kill -TERM "$pid"
wait "$pid"
pid=
echo "$program: starts, is ready, and stops"

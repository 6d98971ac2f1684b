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

for port in 21731 22731 23731 24731; do
    cat >"$folder/config.json" <<JSON
{"name":"n0","listen":"127.0.0.1:$port","discovery":"127.0.0.1:1","seed":"1f",
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"SERVING"}]},
 "settings":{"classes":[{"name":"listen","effect":"repeatable","on-time-ms":400}]}}
JSON
    NODE_CONFIG="$folder/config.json" "$program" 2>"$folder/log" &
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
kill -TERM "$pid"
wait "$pid"
pid=
echo "$program: starts, is ready, and stops"

#!/usr/bin/env bash
# Sums the `tally` lines of a fleet's logs, by time: what all sidecars together did in each step, and what they believed.
#   deploy/tally.sh FOLDER [SECONDS A STEP]     reads FOLDER/*.log; lines begin with the time in seconds
# The lines come with `[log] tally_s = 1` in the settings. Counts in them are since the sidecar's start; one that starts
# anew begins at 0 again.
set -euo pipefail
[ $# -ge 1 ] && [ -d "$1" ] || { echo "usage: deploy/tally.sh FOLDER [SECONDS A STEP]" >&2; exit 2; }
files=("$1"/*.log)
[ -e "${files[0]}" ] || { echo "deploy/tally.sh: no .log in $1" >&2; exit 2; }
awk -v step="${2:-2}" '
    FNR == 1 { delete before }
    / tally in=/ {
        at = $1; gsub(/[][]/, "", at)
        row = int((at - 0.001) / step)
        if (row > last) last = row
        for (i = 2; i <= NF; ++i) {
            if (split($i, word, "=") != 2) continue
            name = word[1]; value = word[2]
            if (name == "place" || name == "crowd" || name == "list") continue
            if (name == "in" && value < before[name]) delete before
            if (!(name in known)) { known[name] = 1; names[++count] = name }
            sum[row, name] += value - before[name]
            before[name] = value
        }
        if (match($0, /list=[0-9]+\/[0-9]+\/[0-9]+/)) {
            split(substr($0, RSTART + 5, RLENGTH - 5), list, "/")
            lines[row]++; for (i = 1; i <= 3; ++i) lists[row, i] += list[i]
        }
    }
    END {
        if (!count) { print "deploy/tally.sh: no tally lines" > "/dev/stderr"; exit 1 }
        printf "%7s", "from"
        for (i = 1; i <= count; ++i) printf " %7s", names[i]
        printf " %7s %7s %7s\n", "listed", "cold", "removed"
        for (row = 0; row <= last; ++row) {
            if (!lines[row]) continue
            printf "%7.1f", row * step
            for (i = 1; i <= count; ++i) printf " %7d", sum[row, names[i]]
            for (i = 1; i <= 3; ++i) printf " %7.1f", lists[row, i] / lines[row]
            printf "\n"
        }
    }' "${files[@]}"

#!/usr/bin/env bash
# Runs the programs of two builds together: fleets whose processes are half of an old build and half of a new one, and where each
# process that restarts is of the other build than before, so that each build reads settings, data folders and state that the
# other one wrote. Not in CI, as it needs a build of an earlier tree. Takes about four minutes.
#   tests/compatibility.sh OLD_BUILD NEW_BUILD
# Both are build folders with the programs cobaltshift, cobaltshift-proxy, cobaltshift-control and cobaltshift-lab; the lab that
# plays the fleets is that of NEW_BUILD.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# = 2 ] || { echo "usage: tests/compatibility.sh OLD_BUILD NEW_BUILD" >&2; exit 2; }
old=$(realpath "$1") new=$(realpath "$2")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() { echo "compatibility: $*" >&2; exit 1; }

# Programs that stand for both builds: each start runs the build that was not started last with the same settings; the first
# starts of a program take turns.
mkdir "$work/bin" "$work/state" "$work/log"
for build in "$old" "$new"; do
    for program in cobaltshift cobaltshift-proxy cobaltshift-control cobaltshift-lab; do
        [ -x "$build/$program" ] || fail "$build/$program is missing"
    done
done
cp "$new/cobaltshift-lab" "$work/bin/cobaltshift-lab"
for program in cobaltshift cobaltshift-proxy cobaltshift-control; do
    cat >"$work/bin/$program" <<W
#!/bin/bash
key=$program\${COBALTSHIFT_BOOT:-\${NODE_CONFIG:-\$*}}
key=\$(printf %s "\$key" | md5sum | cut -c1-32)
{
    flock 9
    if [ -e "$work/state/\$key" ]; then
        last=\$(cat "$work/state/\$key")
    else
        last=\$(cat "$work/state/$program" 2>/dev/null || echo new)
    fi
    if [ "\$last" = old ]; then build=new folder=$new; else build=old folder=$old; fi
    echo "\$build" >"$work/state/\$key"
    echo "\$build" >"$work/state/$program"
    echo "\$build" >>"$work/starts.$program"
} 9>"$work/lock"
case $program in
    cobaltshift) exec "\$folder/$program" "\$@" ;;
    *) exec "\$folder/$program" "\$@" 2>>"$work/log/$program.\$build" ;;
esac
W
    chmod +x "$work/bin/$program"
done

status=0
# NAME COMMAND...
run() {
    local name=$1
    shift
    : >"$work/starts.cobaltshift" && : >"$work/starts.cobaltshift-proxy" && : >"$work/starts.cobaltshift-control"
    if "$@" >"$work/log/$name" 2>&1; then echo "$name: passed"; else
        echo "$name: failed"
        tail -20 "$work/log/$name"
        status=1
    fi
    for program in cobaltshift cobaltshift-proxy cobaltshift-control; do
        [ -s "$work/starts.$program" ] || continue
        local of_old of_new
        of_old=$(grep -c old "$work/starts.$program" || true) of_new=$(grep -c new "$work/starts.$program" || true)
        echo "    $program: $of_old starts of the old build, $of_new of the new one"
        if [ "$of_old" = 0 ] || [ "$of_new" = 0 ]; then
            echo "    $program: both builds must have run" >&2
            status=1
        fi
    done
}

# The mesh: control nodes and proxies under restarts, changes of settings and of the configuration, with clients.
run soak "$work/bin/cobaltshift-lab" soak --quick
for build in old new; do
    elected=$(grep -c "leader elected\|SB012" "$work/log/cobaltshift-control.$build" || true)
    echo "    control nodes of the $build build were elected $elected times"
    [ "$elected" -gt 0 ] || { echo "    a leader of each build is wanted" >&2; status=1; }
done
# Leases: keepers, holders, what keepers have on disk; the commands as a person uses them.
run leases "$work/bin/cobaltshift-lab" leases --quick
run lease_commands tests/lease_smoke.sh "$work/bin/cobaltshift"
# Sidecars and planners.
run planners "$work/bin/cobaltshift-lab" planners --quick
# Sidecars that share probing, and sites.
run probing "$work/bin/cobaltshift-lab" probing --quick
run site_commands tests/site_smoke.sh "$work/bin/cobaltshift" deploy
# A plan file means the same to both builds.
for form in "" --json --pairs; do
    for build in old new; do
        folder=$old
        [ "$build" = new ] && folder=$new
        # shellcheck disable=SC2086
        "$folder/cobaltshift" site plan check $form deploy/sites.example.toml >"$work/log/plan.$build" 2>"$work/log/plan_errors.$build" || true
    done
    cmp -s "$work/log/plan.old" "$work/log/plan.new" || fail "site plan check $form: the builds differ"
done
echo "site plan check: the same table from both builds"
# The simulator's adapter answers alike.
frames='MARK now-ms=1 frame=1\nOVER_TO_YOU\nMARK now-ms=2 frame=2\nOVER_TO_YOU\n'
# shellcheck disable=SC2059
cmp -s <(printf "$frames" | "$old/kelplb_simhost") <(printf "$frames" | "$new/kelplb_simhost") || fail "kelplb_simhost: the builds differ"
echo "kelplb_simhost: the same answer from both builds"
exit $status

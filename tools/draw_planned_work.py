#!/usr/bin/env python3
"""Draws a day of planned work alone for the users' bench: changes of configuration every 80 to 150 ms, overlapping
series of restarts, SIGHUP, releases, servers that leave and join, a planned replacement of a control node; no fault.

    tools/draw_planned_work.py SEED [LENGTH_S] > DAY.toml

The same seed and length give the same day. LENGTH_S: 30 by default, 5 at the least.
"""

import random
import sys

CHANGE_KINDS = ["route", "weights", "timeout", "idle"]
RESTART_WAYS = ["", "busy", "remove"]


def entry(at, kind, **fields):
    """One line of a plan: strings are quoted, numbers are written as they are."""
    parts = [f"at = {at:.2f}", f'kind = "{kind}"']
    for name, value in fields.items():
        parts.append(f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}")
    return "  { " + ", ".join(parts) + " },"


def changes(rng, length_s):
    at = 1.0
    while at < length_s - 2:
        yield entry(at, "config_change", how=rng.choice(CHANGE_KINDS))
        at += rng.uniform(0.08, 0.15)


def restarts(rng, length_s):
    at = rng.uniform(1, 3)
    while at < length_s - 7:
        yield entry(at, "roll_term", share=round(rng.uniform(0.2, 0.6), 2), x=rng.randint(1, 2),
                    gap_s=round(rng.uniform(0.2, 0.5), 2), how=rng.choice(RESTART_WAYS))
        at += rng.uniform(5, 9)


def other_work(rng, length_s):
    for kind, every_s, fields in [
        ("hup", 5, lambda: {"share": 0.3}),
        ("release", 9, lambda: {"share": 0.4, "x": 2, "gap_s": 0.5}),
        ("scale_in", 11, lambda: {"share": 0.15}),
        ("scale_out", 11, lambda: {"share": 0.2, "gap_s": 2.0}),
        ("replace_core", 25, lambda: {"how": "planned", "x": 1.0}),
    ]:
        at = rng.uniform(2, 2 + every_s / 2)
        while at < length_s - 6:
            yield entry(at, kind, **fields())
            at += rng.uniform(0.7, 1.3) * every_s


def main():
    if len(sys.argv) not in (2, 3):
        sys.exit(__doc__)
    seed = int(sys.argv[1])
    length_s = float(sys.argv[2]) if len(sys.argv) == 3 else 30.0
    if length_s < 5:
        sys.exit(f"{sys.argv[0]}: LENGTH_S is {length_s}, 5 at the least")
    rng = random.Random(seed)
    lines = [*changes(rng, length_s), *restarts(rng, length_s), *other_work(rng, length_s)]
    lines.sort(key=lambda line: float(line.split("at = ")[1].split(",")[0]))
    print(f"# Planned work alone, drawn by draw_planned_work.py {seed} {length_s:g}.")
    print("[[day]]")
    print(f'name = "planned-{seed}"\nslot = "trouble"\nlength_s = {length_s:.1f}\nseed = {seed}\nfaults = []\nplan = [')
    print("\n".join(lines))
    print("]")


if __name__ == "__main__":
    main()

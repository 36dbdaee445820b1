#!/usr/bin/env python3
"""Plays the same days and seeds on two or more checkouts and compares them.

Policies are compared on paired seeds without processor time: a play is then
deterministic, so that a difference comes from the policy, and its standard
error shows how much may be due to the choice of seeds.

  bench/paired_days.py --bench PROGRAM --site SITE --days trouble-1,scale-1 \
      --seeds 1,2,3,4,5,6,7,8 CHECKOUT [CHECKOUT...]

The other checkouts are compared with the first. Every checkout must have been
built with `PROGRAM build` before.
"""
import argparse
import concurrent.futures
import dataclasses
import json
import math
import pathlib
import statistics
import subprocess
import sys
import tempfile

# Timeout of one play in seconds; a day of 66 machines takes 70 to 130 s.
PLAY_LIMIT_S = 570


@dataclasses.dataclass(frozen=True)
class Play:
    checkout: str
    day: str
    seed: int


@dataclasses.dataclass(frozen=True)
class Result:
    worth: float
    served: float
    worst_windows: float
    refused: float
    failed: float
    rules_broken: int


def play(options, it):
    """Plays one day. Returns None if the play wrote no report."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [options.bench, "run", options.site, it.day, "--seed",
                   str(it.seed), "--report", str(report), "--why", options.why]
        if not options.with_cpu:
            command.append("--no-cpu")
        if options.small:
            command.append("--small")
        done = subprocess.run(command, cwd=it.checkout, text=True,
                              capture_output=True, timeout=PLAY_LIMIT_S,
                              check=False)
        if not report.exists():
            print(f"no report: {it}: {done.stdout[-300:]}{done.stderr[-300:]}",
                  file=sys.stderr)
            return None
        found = json.loads(report.read_text())
    parts = {part[0]: part[2] for part in found["parts"]}
    return Result(found["G"], found["served"], parts.get("worst windows", 0.0),
                  found["refused"], found["failed"], len(found["breaks"]))


def standard_error(values):
    if len(values) < 2:
        return 0.0
    return statistics.stdev(values) / math.sqrt(len(values))


def show(label, results):
    worths = [it.worth for it in results]
    print(f"{label:32} mean {statistics.mean(worths):.3f} "
          f"worst {min(worths):.3f} "
          f"served {statistics.mean(it.served for it in results):.3f} "
          f"windows {statistics.mean(it.worst_windows for it in results):.3f} "
          f"refused {statistics.mean(it.refused for it in results):.4f} "
          f"failed {statistics.mean(it.failed for it in results):.4f} "
          f"rules broken {sum(it.rules_broken for it in results)}")


def show_difference(label, pairs):
    gains = [after.worth - before.worth for before, after in pairs]
    print(f"{label:32} {statistics.mean(gains):+.4f} "
          f"+- {standard_error(gains):.4f} "
          f"({sum(1 for it in gains if it > 0)} of {len(gains)} better)")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", required=True)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--with-cpu", action="store_true")
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--why", default="paired seeds")
    parser.add_argument("--save", help="all results, as JSON")
    parser.add_argument("checkouts", nargs="+")
    options = parser.parse_args()
    days = options.days.split(",")
    seeds = [int(it) for it in options.seeds.split(",")]
    plays = [Play(checkout, day, seed) for day in days for seed in seeds
             for checkout in options.checkouts]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        found = dict(zip(plays, pool.map(lambda it: play(options, it), plays)))
    results = {it: result for it, result in found.items() if result}
    for checkout in options.checkouts:
        name = pathlib.Path(checkout).name
        for day in days:
            of_day = [results[it] for it in plays if it in results
                      and it.checkout == checkout and it.day == day]
            if of_day:
                show(f"{name} {day}", of_day)
        show(f"{name} all", [results[it] for it in plays
                             if it in results and it.checkout == checkout])
    first = options.checkouts[0]
    for checkout in options.checkouts[1:]:
        pairs = {day: [(results[Play(first, day, seed)],
                        results[Play(checkout, day, seed)])
                       for seed in seeds
                       if Play(first, day, seed) in results
                       and Play(checkout, day, seed) in results]
                 for day in days}
        name = pathlib.Path(checkout).name
        for day in days:
            if pairs[day]:
                show_difference(f"{name} - {pathlib.Path(first).name} {day}",
                                pairs[day])
        show_difference(f"{name} - {pathlib.Path(first).name} all",
                        [it for day in days for it in pairs[day]])
    if options.save:
        rows = [dataclasses.asdict(it) | dataclasses.asdict(result)
                for it, result in results.items()]
        pathlib.Path(options.save).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()

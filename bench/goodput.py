#!/usr/bin/env python3
"""Measures goodput at full load and at three times that, over all entry VMs of a fleet.

Prints for each load: requests a second offered and answered in time, refused, failed,
and the processor time that entry VMs spent on a request that was offered.
"""
import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
from cluster import cluster  # noqa: E402

RUNNERS = 12
SLOTS = 8


def processor_seconds(fleet):
    total = 0
    for _, vm in fleet.entry_vms():
        fields = pathlib.Path(f"/proc/{fleet.processes[vm['name']].pid}/stat").read_text().rsplit(")", 1)[1].split()
        total += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return total


def run_load(fleet, rate, options, seed):
    vms = [vm for _, vm in fleet.entry_vms()]
    before = processor_seconds(fleet)
    loads = [
        subprocess.Popen(
            [str(ROOT / "build/bench/bench_load"), f"--address={vm['http']}", "--target=/v1/queues/q/requests", "--key=key-red",
             f"--rate={rate // len(vms)}", f"--seconds={options.seconds}", f"--work_ms={options.work_ms}",
             f"--deadline_ms={options.deadline_ms}", f"--seed={seed * 100 + number}"],
            stdout=subprocess.PIPE, text=True)
        for number, vm in enumerate(vms)]
    rows = [dict(zip(*(line.split(",") for line in load.communicate()[0].splitlines()))) for load in loads]
    used = processor_seconds(fleet) - before
    total = {name: sum(float(row[name]) for row in rows) for name in ("answered_per_second", "refused", "failed")}
    offered = rate // len(vms) * len(vms)
    print(f"{seed},{offered},{total['answered_per_second']:.0f},{total['refused']:.0f},{total['failed']:.0f},"
          f"{used / offered / options.seconds * 1e6:.0f}", flush=True)
    return total["answered_per_second"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--work_ms", type=int, default=200)
    parser.add_argument("--deadline_ms", type=int, default=1000)
    parser.add_argument("--seeds", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="kingcuplink-bench-") as folder:
        document = f"{folder}/document.json"
        text = subprocess.run(
            [sys.executable, str(ROOT / "scripts/make_example.py"), "--domains=a,b,c", "--teams=red=2,blue=1", "--queues=q",
             "--workers=3", f"--runners={RUNNERS}", "--first-port=24000"], capture_output=True, text=True, check=True).stdout
        value = json.loads(text)
        for team in value["teams"]:
            team["request_ceiling"] = 100_000
        pathlib.Path(document).write_text(json.dumps(value))
        capacity = RUNNERS * SLOTS * 1000 // options.work_ms
        print(f"capacity {capacity} requests a second")
        print("seed,offered_per_second,answered_per_second,refused,failed,processor_us_per_request")
        fleet = cluster(document, ROOT / "build", 7000, 7010, folder)
        try:
            fleet.start()
            time.sleep(3)
            for seed in range(1, options.seeds + 1):
                full = run_load(fleet, capacity, options, seed)
                overload = run_load(fleet, 3 * capacity, options, seed)
                print(f"goodput at 3 times full load: {100 * overload / full:.1f}% of that at full load", flush=True)
        finally:
            fleet.close()


if __name__ == "__main__":
    main()

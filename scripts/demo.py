#!/usr/bin/env python3
"""Runs work of every kind through a fleet on this machine and checks that nothing was lost or doubled."""
import collections
import json
import pathlib
import subprocess
import sys
import tempfile

from cluster import ROOT, cluster

TEAMS = {"dimaculangan": ("recalls", "notices"), "ege-kafes": ("rotas", "rota")}


def main():
    deployment = sys.argv[1] if len(sys.argv) > 1 else "dimaculangan"
    team, queue = TEAMS[deployment]
    key = f"key-{team}"
    problems = []
    with tempfile.TemporaryDirectory(prefix="kingcuplink-demo-") as logs:
        fleet = cluster(ROOT / f"examples/{deployment}.json", ROOT / "build", 7000, 7010, logs)
        try:
            print(f"starting the fleet of {deployment}: {len(fleet.entry_vms())} entry VMs")
            fleet.start()
            servers = [vm["http"] for _, vm in fleet.entry_vms()]

            print("\njobs, through the command-line tool:")
            jobs = []
            for number, kind in enumerate(["service", "batch", "gang", "urgent"] * 3):
                path = str(ROOT / f"examples/jobs/{kind}.json")
                answer = fleet.cli("--output=json", "job", "submit", path, key=key, server=servers[number % len(servers)])
                jobs.append((kind, json.loads(answer.stdout)["job"]))
            for kind, job in jobs:
                if kind != "service":
                    result = fleet.cli("job", "status", job, "--wait", key=key, check=False)
                    if result.returncode != 0:
                        problems.append(f"{kind} job {job} did not succeed")
            print(fleet.cli("job", "list", key=key).stdout)

            print("requests, through curl:")
            answered = 0
            for number in range(200):
                result = subprocess.run(
                    ["curl", "-sS", "-H", f"Authorization: Bearer {key}", "-H", f"Kingcuplink-Request-Id: demo-{number}",
                     "-H", "Kingcuplink-Repeatable: false", "-d", f"work_ms={number % 7}",
                     f"http://{servers[number % len(servers)]}/v1/queues/{queue}/requests"],
                    capture_output=True, text=True)
                answered += result.stdout.startswith(f"demo-{number} ")
            print(f"  {answered} of 200 answered, each to its own caller")
            if answered != 200:
                problems.append(f"{200 - answered} requests without their answer")

            record = fleet.record()
            doubled = [i for i, count in record["request_runs"].items() if count > 1]
            problems += [f"request {i} ran twice" for i in doubled] + record["breaches"]
            places = collections.Counter()
            for runs in record["task_runs"].values():
                places.update(run["worker"].split("-")[0] for run in runs if "attempt" in run)
            print("\nwhat ran where:")
            for domain, count in sorted(places.items()):
                print(f"  failure domain {domain}: {count} task starts")
            print(f"  requests on runners: {record['requests']}")
            print(f"\ncounters of {fleet.entry_vms()[0][1]['name']}:")
            for line in fleet.get(servers[0], "/metrics").splitlines():
                if not line.startswith("#") and not line.endswith(" 0"):
                    print(f"  {line}")
        finally:
            fleet.close()
    for problem in problems:
        print(f"PROBLEM: {problem}")
    print("demo: nothing was lost or doubled" if not problems else f"demo: {len(problems)} problems")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())

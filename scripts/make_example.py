#!/usr/bin/env python3
"""Writes a governing document in the size of a deployment.

The tests and examples share it, so that the sizes stand in one place. Keys are
the text "key-TEAM" and "operator"; they are for examples only.
"""
import argparse
import hashlib
import json


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


class ports:
    """Hands out ports in order."""

    def __init__(self, first):
        self.next = first

    def take(self):
        self.next += 1
        return f"127.0.0.1:{self.next - 1}"


def domain(name, entry_vms, workers, runners, port):
    return {
        "name": name,
        "region": "main",
        "state": "in",
        "entry_vms": [
            {"name": f"{name}-entry{i}", "http": port.take(), "peer": port.take()}
            for i in range(1, entry_vms + 1)
        ],
        "workers": [
            {
                "name": f"{name}-worker{i}",
                "address": port.take(),
                "rack": f"{name}-rack{(i - 1) // 8 + 1}",
                "size": {
                    "cores": 64,
                    "memory_gib": 256,
                    "accelerators": 8 if i % 4 == 0 else 0,
                },
            }
            for i in range(1, workers + 1)
        ],
        "runners": [
            {"name": f"{name}-runner{i}", "address": port.take(), "slots": 8, "connections": 64}
            for i in range(1, runners + 1)
        ],
    }


def team(name, share, workers):
    return {
        "name": name,
        "share": share,
        "ceiling": {
            "cores": 64 * workers * share // 8,
            "memory_gib": 256 * workers * share // 8,
            "accelerators": max(8, 2 * workers * share // 8),
        },
        "request_ceiling": 240,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--domains", required=True, help="names, separated by commas")
    parser.add_argument("--entry-vms", default="3,3,2", help="entry VMs of each failure domain")
    parser.add_argument("--teams", required=True, help="NAME=SHARE, separated by commas")
    parser.add_argument("--queues", required=True, help="names, separated by commas; open:NAME for an open one")
    parser.add_argument("--workers", type=int, default=48)
    parser.add_argument("--runners", type=int, default=48)
    parser.add_argument("--first-port", type=int, default=20000)
    args = parser.parse_args()

    port = ports(args.first_port)
    names = args.domains.split(",")
    entry_vms = [int(count) for count in args.entry_vms.split(",")]
    teams = [item.split("=") for item in args.teams.split(",")]
    operator = sha256("operator")
    queues = []
    for name in args.queues.split(","):
        if name.startswith("open:"):
            queues.append({"name": name[5:], "open": True, "team": teams[0][0]})
        else:
            queues.append({"name": name, "when_cut_off": "serve"})
    document = {
        "owners": {
            name: [operator]
            for name in ("owners", "teams", "keys", "failure_domains", "queues", "policies")
        },
        "teams": [team(name, int(share), args.workers) for name, share in teams],
        "keys": [{"sha256": sha256(f"key-{name}"), "team": name, "state": "granted"} for name, _ in teams],
        "failure_domains": [
            domain(name, entry_vms[i], args.workers // len(names), args.runners // len(names), port)
            for i, name in enumerate(names)
        ],
        "queues": queues,
        "policies": {
            "service": {"preemptible": False},
            "batch": {"preemptible": True, "backfill": True},
            "gang": {"preemptible": False},
        },
    }
    print(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Measures what control costs an entry VM and each endpoint, at rest and with jobs, for several sizes.

For each size: bytes a second and processor time of each entry VM, from the
counters of the product and from the kernel's accounts of the process.
"""
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

SECONDS = 15


def sample(fleet):
    """Returns counters, processor seconds and resident MB of each entry VM."""
    values = {}
    for _, vm in fleet.entry_vms():
        counters = dict(line.rsplit(" ", 1) for line in fleet.get(vm["http"], "/metrics").splitlines() if not line.startswith("#"))
        pid = fleet.processes[vm["name"]].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        cpu = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        rss = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        total = sum(int(counters[f"kingcuplink_{name}_total"]) for name in
                    ("peer_bytes_sent", "peer_bytes_received", "control_bytes_sent", "control_bytes_received"))
        values[vm["name"]] = (total, cpu, rss, json.loads(fleet.get(vm["http"], "/status"))["role"])
    return values


def main():
    print("workers,jobs_a_second,role,bytes_per_second,cpu_percent,resident_mb")
    for workers in (12, 24, 48, 96):
        with tempfile.TemporaryDirectory(prefix="kingcuplink-bench-") as folder:
            document = f"{folder}/document.json"
            text = subprocess.run(
                [sys.executable, str(ROOT / "scripts/make_example.py"), "--domains=a,b,c", "--teams=red=2,blue=1",
                 "--queues=q", f"--workers={workers}", "--runners=12", "--first-port=24000"],
                capture_output=True, text=True, check=True).stdout
            pathlib.Path(document).write_text(text)
            fleet = cluster(document, ROOT / "build", 7000, 7010, folder)
            try:
                fleet.start()
                time.sleep(5)
                for jobs in (0, 10):
                    before = sample(fleet)
                    end = time.monotonic() + SECONDS
                    while time.monotonic() < end:
                        if jobs:
                            for number in range(jobs // 5):
                                vm = fleet.entry_vms()[number % 8][1]
                                fleet.cli("job", "submit", str(ROOT / "examples/jobs/urgent.json"), key="key-red", server=vm["http"], check=False)
                        time.sleep(0.2)
                    after = sample(fleet)
                    for role in ("leader", "standby"):
                        names = [n for n in after if after[n][3] == role]
                        rate = sum(after[n][0] - before[n][0] for n in names) / len(names) / SECONDS
                        cpu = sum(after[n][1] - before[n][1] for n in names) / len(names) / SECONDS * 100
                        rss = max(after[n][2] for n in names)
                        print(f"{workers},{jobs},{role},{rate:.0f},{cpu:.2f},{rss:.1f}", flush=True)
            finally:
                fleet.close()


if __name__ == "__main__":
    main()

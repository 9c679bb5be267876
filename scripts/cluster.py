"""Starts the stand-ins and the entry VMs of a document on this machine, for the demo."""
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent


class cluster:
    """Processes of one fleet; close() ends just these."""

    def __init__(self, document, build, platform_port, endpoints_port, log_folder):
        self.document = json.loads(pathlib.Path(document).read_text())
        self.document_path = str(document)
        self.build = pathlib.Path(build)
        self.platform = f"127.0.0.1:{platform_port}"
        self.endpoints = f"127.0.0.1:{endpoints_port}"
        self.logs = pathlib.Path(log_folder)
        self.logs.mkdir(parents=True, exist_ok=True)
        self.processes = {}

    def spawn(self, name, *command):
        log = open(self.logs / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def entry_vms(self):
        return [(d["name"], vm) for d in self.document["failure_domains"] for vm in d["entry_vms"]]

    def start(self):
        binaries = self.build / "test"
        self.spawn("platform", str(binaries / "kingcuplink_platform"), f"--address={self.platform}")
        self.spawn("endpoints", str(binaries / "kingcuplink_endpoints"), f"--address={self.endpoints}", f"--document={self.document_path}")
        self.wait_for(lambda: self.get(self.platform, "/vms"))
        self.cli("document", "init", self.document_path, f"--platform={self.platform}")
        for domain, vm in self.entry_vms():
            self.start_entry_vm(domain, vm)
        for _, vm in self.entry_vms():
            self.wait_for(lambda: json.loads(self.get(vm["http"], "/status"))["leader"] != "")

    def start_entry_vm(self, domain, vm):
        self.spawn(
            vm["name"], str(self.build / "src/kingcuplink/kingcuplinkd"), f"--name={vm['name']}", f"--failure_domain={domain}",
            f"--http_address={vm['http']}", f"--peer_address={vm['peer']}", f"--platform_address={self.platform}",
            "--drain_grace_ms=1000", "--allow_faults")

    def cli(self, *arguments, key="", server=None, check=True):
        command = [str(self.build / "src/kingcuplink/kingcuplink"), f"--server={server or self.entry_vms()[0][1]['http']}", *arguments]
        result = subprocess.run(command, env={**os.environ, "KINGCUPLINK_KEY": key}, capture_output=True, text=True)
        if check and result.returncode != 0:
            raise RuntimeError(f"{command}: exit {result.returncode}: {result.stderr}")
        return result

    def get(self, address, path):
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as answer:
            return answer.read().decode()

    def post(self, address, path, body):
        request = urllib.request.Request(f"http://{address}{path}", data=json.dumps(body).encode(), method="POST")
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.read().decode()

    def record(self):
        return json.loads(self.get(self.endpoints, "/record"))

    def wait_for(self, condition, seconds=30):
        limit = time.monotonic() + seconds
        while True:
            try:
                if condition():
                    return
            except OSError:
                pass
            if time.monotonic() > limit:
                raise RuntimeError("a condition did not come true in time")
            time.sleep(0.1)

    def close(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(timeout=20)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

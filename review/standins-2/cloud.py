"""
Stand-in for the platform's list of machines and its upkeep: PROTOCOL.md, "Machines".

It knows the workers of a deployment. An upkeep ends the worker of its machine; a new
one, with a new identifier, joins the same service when it is over.
"""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

UPKEEP_S = 2.0


class Cloud:
    """Owns the state of the machines and the server."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.lock = threading.Lock()
        self.machines = {}
        self.waves = {}
        self.done = set()
        self.server = None

    def add(self, machine, worker, service, cpu=8000, memory=16384):
        """Add a machine with its worker."""
        self.machines[machine] = {
            "machine": machine,
            "pool": service,
            "state": "up",
            "zone": "z1",
            "labels": ["a", "r1"],
            "capacity": {"cpu": cpu, "memory_limit_mb": memory, "gpu": 0},
            "id": worker,
        }

    def serve(self, ip, port):
        """Serve until the process ends."""
        cloud = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                """Write no log."""

            def reply(self, status, plain):
                data = json.dumps(plain).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                with cloud.lock:
                    rows = list(cloud.machines.values())
                self.reply(200, {"machines": rows, "next_page_token": ""})

            def do_POST(self):
                size = int(self.headers.get("Content-Length", "0"))
                order = json.loads(self.rfile.read(size) or b"{}")
                self.reply(*cloud.answer(self.path, order))

        self.server = ThreadingHTTPServer((ip, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def answer(self, path, order):
        """Carry out an order."""
        machine, wave = order.get("machine"), order.get("wave")
        with self.lock:
            row = self.machines.get(machine)
            if path != "/machine-upkeep" or row is None:
                return 400, {}
            if machine not in self.waves.get(wave, ()):
                return 409, {"reason": "wave"}
            if (wave, machine) in self.done:
                return 200, {}
            if row["state"] != "up":
                return 409, {"reason": "busy"}
            self.done.add((wave, machine))
            row["state"] = "upkeep"
        self.deployment.record(f"platform: upkeep of {machine} begins")
        self.deployment.kill_worker(row["id"])
        threading.Timer(UPKEEP_S, self.finish, (machine,)).start()
        return 200, {}

    def finish(self, machine):
        """End an upkeep."""
        row = self.machines[machine]
        row["id"], row["state"] = row["id"] + "b", "up"
        self.deployment.add_worker(row["id"], machine, row["pool"])
        self.deployment.record(f"platform: upkeep of {machine} is over")

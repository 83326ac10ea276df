"""Frame of a case: starts the deployment, plays it, and turns the result to a code."""

import asyncio
import sys
import traceback
from pathlib import Path

from deployment import Deployment, Record

__all__ = ["HOST", "KEY", "manifest", "play", "route", "tenant"]

HOST, KEY = "rounds.example", "k-dispatch-1"
BROKEN, HELD, FAILED = 1, 0, 2
LIMIT_S = 110


def route(name, prefix, service, **fields):
    """Return a route of a manifest."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": service,
        "max_attempts": 3,
        "stretch": 1.6,
        "public": False,
    } | fields


def tenant(name, keys, cpu=0):
    """Return a tenant of a manifest."""
    return {
        "name": name,
        "api_keys": list(keys),
        "priority": 1,
        "weight": 10,
        "upper_limit": {"cpu": cpu, "memory_limit_mb": 0, "gpu": 0},
    }


def manifest(version, routes, services, tenants):
    """Return a complete manifest."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 64,
                "protocol": "h1",
                "tls": False,
                "admission_check": False,
                "spare": spare,
            }
            for name, spare in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


def play(folder, scene, cores=3, entries=2):
    """
    Play a case and exit with its code.

    Parameters
    ----------
    scene : coroutine function
        Takes record and deployment; returns the list of how the rule was broken.
    """
    record = Record(Path(folder))
    deployment = Deployment(record, cores, entries)

    async def run():
        return await asyncio.wait_for(scene(record, deployment), LIMIT_S)

    try:
        broken = asyncio.run(run())
        code = BROKEN if broken else HELD
        for line in broken[:50]:
            record.write(f"BROKEN {line}")
        record.write(f"{len(broken)} breaks; exit code {code}")
    except BaseException:
        record.write(f"could not run: {traceback.format_exc()}")
        code = FAILED
    finally:
        deployment.close()
    sys.exit(code)

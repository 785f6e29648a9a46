#!/usr/bin/env python3
"""Writes the sample configuration of two deployments into samples/."""
import hashlib
import pathlib

SAMPLES = pathlib.Path(__file__).resolve().parent.parent / "samples"


def digest(secret):
    return hashlib.sha256(secret.encode()).hexdigest()


def write_file(folder, name, lines):
    path = SAMPLES / folder
    path.mkdir(parents=True, exist_ok=True)
    (path / name).write_text("\n".join(lines) + "\n")


# Writes all configuration files of one deployment.
def write_deployment(folder, spec):
    write_file(folder, "10-kinds.yaml", ["request_kinds:"] + spec["kinds"])
    write_file(folder, "20-services.yaml", ["services:"] + spec["services"])
    lines = ["# The API key of each workspace is <name>-key; replace all keys.",
             "workspaces:"]
    for name, weight, rate, concurrent in spec["workspaces"]:
        lines += [f"  {name}:",
                  f"    api_key_sha256: {digest(name + '-key')}",
                  f"    weight: {weight}",
                  f"    requests_per_second: {rate}",
                  f"    concurrent_requests: {concurrent}",
                  "    models:"]
        lines += [f"      {alias}: {{serve: \"{model}\"}}"
                  for alias, model in spec["models"]]
    write_file(folder, "30-workspaces.yaml", lines)
    lines = ["targets:"]
    port = spec["port"]
    for i in range(spec["engines"]):
        domain = spec["domains"][i % len(spec["domains"])]
        models = ", ".join(f'"{m}"' for _, m in spec["models"])
        lines += [f"  engine-{domain}-{i // len(spec['domains']) + 1}:",
                  f"    address: 127.0.0.1:{port + i}",
                  f"    failure_domain: {domain}",
                  "    kind: engine",
                  "    capacity: 32",
                  f"    fencing: {'checked' if i % 2 else 'ignored'}",
                  f"    models: [{models}]"]
    write_file(folder, "40-engines.yaml", lines)
    lines = ["targets:"]
    for i in range(spec["service_count"]):
        domain = spec["domains"][i % len(spec["domains"])]
        lines += [f"  service-{i + 1}:",
                  f"    address: 127.0.0.1:{port + 100 + i}",
                  f"    failure_domain: {domain}",
                  "    kind: service",
                  "    capacity: 64",
                  f"    service: {spec['service']}"]
    write_file(folder, "50-services.yaml", lines)
    write_file(folder, "60-policy.yaml",
               ["resume:", "  mode: cost"] + spec["resume"])
    write_file(
        folder, "70-operators.yaml",
        ["operators:",
         f"  control-room: {{token_sha256: {digest('control-room-token')}}}"])


write_deployment("siam-tide", {
    "port": 21000, "domains": ["rama", "chao", "mae"], "engines": 24,
    "service_count": 3, "service": "yield-records",
    "kinds": ["  shift-summary: {priority: high, deadline_ms: 60000, "
              "queue_timeout_ms: 5000, maximum_tokens: 2000}",
              "  audit-narrative: {priority: normal, deadline_ms: 900000, "
              "queue_timeout_ms: 30000, maximum_tokens: 20000}"],
    "services": ["  yield-records:", "    calls:",
                 "      past-yield: {idempotent: true, timeout_ms: 3000}",
                 "      close-batch: {idempotent: false, timeout_ms: 5000}"],
    "workspaces": [(f"plant-{i:02d}", 8 if i <= 3 else 1,
                    40 if i <= 3 else 10, 200 if i <= 3 else 32)
                   for i in range(1, 11)],
    "models": [("summary", "tide-summary:3"), ("narrative", "tide-audit:1")],
    "resume": ["  latency_weight: 10", "  resource_weight: 1"],
})
write_deployment("basahan", {
    "port": 22000, "domains": ["laguna", "cavite", "rizal", "bulacan"],
    "engines": 20, "service_count": 4, "service": "schedules",
    "kinds": ["  discussion-guide: {priority: normal, deadline_ms: 900000, "
              "queue_timeout_ms: 60000, maximum_tokens: 8000}",
              "  chapter-summary: {priority: low, deadline_ms: 900000, "
              "queue_timeout_ms: 60000, maximum_tokens: 4000}"],
    "services": ["  schedules:", "    calls:",
                 "      look-up: {idempotent: true, timeout_ms: 3000}",
                 "      sign-up: {idempotent: false, timeout_ms: 5000}"],
    "workspaces": [(f"club-{i:02d}", 6 if i <= 2 else 1,
                    30 if i <= 2 else 8, 150 if i <= 2 else 24)
                   for i in range(1, 11)],
    "models": [("guide", "basahan-guide:2"), ("summary", "basahan-brief:5")],
    "resume": ["  latency_weight: 1", "  resource_weight: 10"],
})

#!/usr/bin/env python3
"""Tests mutual TLS between instances with generated certificates.

Instances with certificates of the same authority must see each other as
alive. An instance without a certificate must not join them.
"""
import subprocess
import sys
import time

from cluster import BUILD, Cluster, Process, http_request


def run(*command):
    subprocess.run([str(it) for it in command], check=True,
                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)


def make_certificates(folder):
    authority, key = folder / "ca.pem", folder / "ca.key"
    run("openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days",
        "2", "-subj", "/CN=test authority", "-keyout", key, "-out", authority)
    run("openssl", "req", "-newkey", "rsa:2048", "-nodes", "-subj",
        "/CN=instance", "-keyout", folder / "peer.key", "-out",
        folder / "peer.csr")
    (folder / "names").write_text("subjectAltName=IP:127.0.0.1\n")
    run("openssl", "x509", "-req", "-in", folder / "peer.csr", "-CA",
        authority, "-CAkey", key, "-CAcreateserial", "-days", "2", "-extfile",
        folder / "names", "-out", folder / "peer.pem")


# Returns how many instances are alive according to the instance at `address`.
def count_alive_instances(address):
    wall = http_request(address, "/v1/wall") or {}
    return sum(it["alive"] for it in wall.get("domains", []))


# Polls every 0.1 s until the count is `expected`; returns False after 100
# attempts.
def wait_for_alive_count(address, expected):
    for _ in range(100):
        if count_alive_instances(address) == expected:
            return True
        time.sleep(0.1)
    return False


# Prints the result of a check and returns it.
def check(description, holds):
    print(f"{'ok' if holds else 'FAILED'}: {description}", flush=True)
    return holds


def main():
    cluster = Cluster(27600, entries=2, engines=1, services=0)
    folder = cluster.folder
    make_certificates(folder)
    cluster.entry_lines = ("tls:\n" + "".join(
        f"  {name}: {folder / file}\n" for name, file in (
            ("peer_certificate", "peer.pem"), ("peer_key", "peer.key"),
            ("peer_authority", "ca.pem"))))
    extra_processes = []
    try:
        cluster.start(cluster.write_intents())
        passed = check("two instances with certificates see each other",
                       wait_for_alive_count(cluster.entry(0), 2))
        file = folder / "stranger.yaml"
        file.write_text(
            "instance: stranger\nfailure_domain: north\n"
            f"listen: {cluster.entry(5)}\npeer_listen: {cluster.peer(5)}\n"
            f"platform: {cluster.platform_address}\n"
            f"seed_peers: [\"{cluster.peer(0)}\"]\n")
        extra_processes.append(Process(folder, "stranger", [
            BUILD / "daisypond-entry", "--config", file]))
        time.sleep(5)
        passed &= check("an instance without a certificate is not admitted",
                        count_alive_instances(cluster.entry(0)) == 2)
    finally:
        for it in extra_processes:
            it.kill()
        cluster.tear_down()
    print("tls passed" if passed else "tls FAILED")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())

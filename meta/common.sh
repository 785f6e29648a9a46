# Functions shared by the scripts in meta/. Source this file after
# `set -euo pipefail`.
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BUILD="${DAISYPOND_BUILD:-$ROOT/build}"

PACKAGES=(cmake ninja-build g++ clang-format clang-tidy curl python3
  libcivetweb-dev libgrpc++-dev libprotobuf-dev protobuf-compiler
  protobuf-compiler-grpc libboost1.81-dev libyaml-cpp-dev libcli11-dev
  libfmt-dev libexpected-dev libcppunit-dev librapidcheck-dev libxxhash-dev libzstd-dev
  nlohmann-json3-dev libcurl4-openssl-dev libssl-dev openssl)

# Installs the packages of PACKAGES that are missing on this machine.
install_packages() {
  local missing=()
  for it in "${PACKAGES[@]}"; do
    dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'ok installed' ||
      missing+=("$it")
  done
  if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
      --no-install-recommends "${missing[@]}" >/dev/null
  fi
}

build_all() {
  cmake -S "$ROOT" -B "$BUILD" -G Ninja "$@" >/dev/null
  cmake --build "$BUILD" -- --quiet
}

# Process ids of the processes started by start_process; stop_all ends only
# these.
STARTED_PIDS=()

stop_all() {
  for it in "${STARTED_PIDS[@]:-}"; do
    [ -n "$it" ] && kill -CONT "$it" 2>/dev/null && kill "$it" 2>/dev/null || true
  done
  for it in "${STARTED_PIDS[@]:-}"; do
    [ -n "$it" ] && wait "$it" 2>/dev/null || true
  done
  STARTED_PIDS=()
}

# start_process LOGFILE PROGRAM ARGS...: starts the program in the background,
# redirects its output to LOGFILE and stores its process id in LAST_PID.
start_process() {
  local log="$1"
  shift
  "$@" >"$log" 2>&1 &
  LAST_PID=$!
  STARTED_PIDS+=("$LAST_PID")
}

# wait_for URL: polls the URL until it returns a success status. Fails after
# 200 attempts.
wait_for() {
  for _ in $(seq 200); do
    curl -sf -o /dev/null --max-time 1 "$1" && return 0
    sleep 0.05
  done
  echo "no answer from $1" >&2
  return 1
}

# post ADDRESS/PATH BODY: sends an HTTP POST request.
post() { curl -sf --max-time 5 -X POST -d "$2" "http://$1"; }

sha256_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# write_entry_settings FILE NAME DOMAIN PORT PEER_PORT PLATFORM [EXTRA LINES]:
# writes the settings file of an entry instance.
write_entry_settings() {
  cat >"$1" <<EOF
instance: $2
failure_domain: $3
listen: 127.0.0.1:$4
peer_listen: 127.0.0.1:$5
platform: $6
fault_endpoint: true
${7:-}
EOF
}

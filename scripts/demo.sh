#!/usr/bin/env bash
# Installs what is missing, builds, starts a whole fleet on loopback, runs the main job (a primary
# is killed in the middle of the load) and prints the report. Exits 0 only without violations.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install_packages.sh
bash scripts/build.sh
export HORNBEAMHOOK_BUILD=${HORNBEAMHOOK_BUILD:-$PWD/build}
exec python3 scripts/fleet.py --deployment "${1:-nile_horn}" --seed "${2:-1}" \
    --duration 30 --kill-primary-at 15 --clients 48

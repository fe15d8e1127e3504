#!/usr/bin/env bash
# Configures and builds everything into build/ (or $HORNBEAMHOOK_BUILD).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${HORNBEAMHOOK_BUILD:-build}
# Builds in different folders share compiler cache entries.
export CCACHE_NOHASHDIR=1 CCACHE_BASEDIR="$PWD"
launcher=()
if command -v ccache >/dev/null; then
    launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
cmake -S . -B "$build" -G Ninja "${launcher[@]}" >/dev/null
cmake --build "$build" -j "${HORNBEAMHOOK_JOBS:-$(nproc)}"

#!/usr/bin/env bash
# Installs the Debian packages listed in packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t packages < packages.txt
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if ((${#missing[@]} == 0)); then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${missing[@]}"

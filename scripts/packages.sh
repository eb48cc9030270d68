#!/usr/bin/env bash
# Installs those of the given Debian packages that are missing.
set -euo pipefail
missing=()
for package in "$@"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"

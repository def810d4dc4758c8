#!/usr/bin/env bash
# Installs the Debian packages of packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")"
missing=()
while read -r package; do
    state=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
    [ "$state" = installed ] || missing+=("$package")
done < packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
    echo "installing: ${missing[*]}"
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -q -y \
        --no-install-recommends "${missing[@]}"
fi

#!/usr/bin/env bash
# Runs clang-tidy on all sources with the compile commands of the given build directory. A file that passed is not
# checked again until it, any header or .clang-tidy changes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mkdir -p "$build/lint"
headers=$(cat .clang-tidy $(git ls-files '*.h') | sha256sum | cut -c1-16)
# Clang cannot read GCC's precompiled header.
sed -E 's/-include [^ ]*cmake_pch.hxx//; s/-Winvalid-pch//; s/-fpch-preprocess//' "$build/compile_commands.json" >"$build/lint/compile_commands.json"
check() {
    local file=$1 stamp
    stamp="$2/lint/$(cat "$file" | sha256sum | cut -c1-16)-$3-$(echo "$file" | tr / _)"
    [ -e "$stamp" ] && return 0
    clang-tidy --quiet -p "$2/lint" "$file" 2>/dev/null && touch "$stamp"
}
export -f check
git ls-files 'src/*.cpp' 'platform/*.cpp' 'lab/*.cpp' | xargs -P "$(nproc)" -I{} bash -c 'check "$@"' _ {} "$build" "$headers"

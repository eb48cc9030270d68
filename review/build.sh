#!/usr/bin/env bash
# Builds every stand-in that the review's scripts start, the project's own included, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja >/dev/null
ninja -C target/review review-cases

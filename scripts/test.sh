#!/usr/bin/env bash
# Runs all tests of a build; the last line is "N passed, N failed". Failures of tests that KNOWN-RED.txt lists are
# printed but not counted.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
log="$build/tests.log"
"$build/rattanshunt-tests" --jobs 3 --verbose >"$log" 2>&1
grep -E '^\[(FAIL|----)\]|^\[====\]' "$log"
summary=$(grep -E '^\[====\] Synthesis' "$log" | tail -1)
passed=$(echo "$summary" | sed -E 's/.*Passing: ([0-9]+).*/\1/')
[ -n "$passed" ] || { tail -20 "$log"; echo "0 passed, 1 failed"; exit 1; }
failed=0
while read -r name; do
    if [ -f KNOWN-RED.txt ] && grep -q "^test: $name\$" KNOWN-RED.txt; then
        echo "known red: $name"
    else
        echo "failed: $name"
        failed=$((failed + 1))
    fi
done < <(grep -oE '^\[(FAIL|CRASH)\] [^ :]+::[^ :]+' "$log" | awk '{print $2}' | sort -u)
crashed=$(echo "$summary" | sed -E 's/.*Crashing: ([0-9]+).*/\1/')
[ "$crashed" = 0 ] || [ "$failed" -gt 0 ] || failed=$crashed
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]

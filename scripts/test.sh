#!/usr/bin/env bash
# Runs all tests of a build; the last line is "N passed, N failed". Failures of tests that KNOWN-RED.txt lists are
# printed but not counted. The tests of the process's memory run after the others, one at a time.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
passed=0
failed=0

run() {
    local program=$1 log="$build/$3" count crashed summary name red=0
    "$build/$program" --jobs "$2" --verbose >"$log" 2>&1
    grep -E '^\[(FAIL|----)\]|^\[====\]' "$log"
    summary=$(grep -E '^\[====\] Synthesis' "$log" | tail -1)
    count=$(echo "$summary" | sed -E 's/.*Passing: ([0-9]+).*/\1/')
    [ -n "$count" ] || { tail -20 "$log"; echo "failed: $program"; failed=$((failed + 1)); return; }
    passed=$((passed + count))
    while read -r name; do
        if [ -f KNOWN-RED.txt ] && grep -q "^test: $name\$" KNOWN-RED.txt; then
            echo "known red: $name"
        else
            echo "failed: $name"
            red=$((red + 1))
        fi
    done < <(grep -oE '^\[(FAIL|CRASH)\] [^ :]+::[^ :]+' "$log" | awk '{print $2}' | sort -u)
    crashed=$(echo "$summary" | sed -E 's/.*Crashing: ([0-9]+).*/\1/')
    [ "$crashed" = 0 ] || [ "$red" -gt 0 ] || red=$crashed
    failed=$((failed + red))
}

run rattanshunt-tests 3 tests.log
run rattanshunt-client-tests 1 client-tests.log
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]

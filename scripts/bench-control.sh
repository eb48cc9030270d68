#!/usr/bin/env bash
# Measures the control-plane cost per daemon with real processes: CPU time, resident memory, peer traffic, and calls
# to the key-value service. Each of the given fleet sizes is measured idle, then under a steady load on all daemons.
# Usage: scripts/bench-control.sh BUILD "3 6 12 18" SECONDS
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-build}
sizes=${2:-"3 6 12 18"}
seconds=${3:-8}
export RATTANSHUNT_FLEET_SECRET=bench-secret-bench-secret

measure() {
    local size=$1
    source scripts/common.sh
    start platform "$bin/rattanshunt-lab" platform --loads_per_second 50 --list_lag_ms 10
    local platform; platform=$(address platform 'listening ')
    start engine "$bin/rattanshunt-lab" engine --platform_at "$platform" --slots 64 --load_ms 10
    address engine 'listening ' >/dev/null
    local targets="" admins=()
    for i in $(seq "$size"); do serve "d$i" "dc-$((i % 4 + 1))" "$platform"; done
    for i in $(seq "$size"); do
        targets+="${targets:+,}$(address "d$i" 'client=')"
        admins+=("$(address "d$i" 'admin=')")
        wait_for "d$i" daemon.ready
    done
    cat >"$dir/resources.json" <<'J'
[{"kind":"model","name":"m","spec":{"pool":"drafter","bytes":10}},
 {"kind":"account","name":"acme","spec":{"rate":100000,"burst":200000}}]
J
    "$bin/rattanshunt" apply --admin "${admins[0]}" --f "$dir/resources.json" >/dev/null
    local secret; secret=$("$bin/rattanshunt" key create k --account acme --admin "${admins[0]}" | grep -oE 'rsk_[0-9a-f]+')
    echo "[{\"name\":\"short\",\"model\":\"m\",\"secret\":\"$secret\",\"max_tokens\":2}]" >"$dir/plan.json"
    sleep 14 # until budget slots have moved to better-placed daemons
    report "$size" idle "$platform" "$seconds"
    start load "$bin/rattanshunt-lab" load --targets "$targets" --plan "$dir/plan.json" --rate "$((size * 10))" --seconds "$((seconds + 3))"
    sleep 1.5
    report "$size" "10/s each" "$platform" "$seconds"
}

ticks() { local sum=0; for name in "${!pid_of[@]}"; do [[ $name == d* ]] && sum=$((sum + $(awk '{print $14 + $15}' "/proc/${pid_of[$name]}/stat"))); done; echo "$sum"; }
memory() { for name in "${!pid_of[@]}"; do [[ $name == d* ]] && awk '/VmRSS/ {print $2}' "/proc/${pid_of[$name]}/status"; done | sort -n | tail -1; }
peer_bytes() { local sum=0 bytes; for admin in "${admins[@]}"; do bytes=$("$bin/rattanshunt" state --admin "$admin" | awk -F'[:,]' '/peer_bytes_sent/ {print $2}'); sum=$((sum + bytes)); done; echo "$sum"; }
kv_calls() { curl -s "http://$1/calls" | tr ',{' '\n\n' | awk -F: '/"reads"/ {gsub(/[^0-9]/,"",$2); r=$2} /"writes"/ {gsub(/[^0-9]/,"",$2); w=$2} END {print r, w}'; }

report() {
    local size=$1 what=$2 platform=$3 seconds=$4
    local cpu0 bytes0 reads0 writes0 cpu1 bytes1 reads1 writes1
    cpu0=$(ticks); bytes0=$(peer_bytes); read -r reads0 writes0 < <(kv_calls "$platform")
    sleep "$seconds"
    cpu1=$(ticks); bytes1=$(peer_bytes); read -r reads1 writes1 < <(kv_calls "$platform")
    awk -v n="$size" -v what="$what" -v s="$seconds" -v cpu=$((cpu1 - cpu0)) -v bytes=$((bytes1 - bytes0)) \
        -v reads=$((reads1 - reads0)) -v writes=$((writes1 - writes0)) -v memory="$(memory)" 'BEGIN {
        printf "%7d  %-10s  %8.2f%%  %8.1f MB  %9.2f KB/s  %9.2f  %9.2f\n", n, what, cpu / s / n, memory / 1024, bytes / s / n / 1024, reads / s, writes / s }'
}

printf "%7s  %-10s  %9s  %11s  %14s  %9s  %9s\n" daemons load "CPU each" "max memory" "sent each" "KV reads/s" "KV writes/s"
for size in $sizes; do (measure "$size"); done

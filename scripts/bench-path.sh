#!/usr/bin/env bash
# Measures the request path's overhead as ratios within one run: the load generator calls an engine stand-in directly,
# then through one daemon with one traffic thread. Prints the saturated request rate, the latency at half that rate, and
# the memory used per open stream.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-build}
seconds=${2:-4}
export RATTANSHUNT_FLEET_SECRET=bench-secret-bench-secret
source scripts/common.sh
start platform "$bin/rattanshunt-lab" platform --loads_per_second 50 --list_lag_ms 10
platform=$(address platform 'listening ')
start engine "$bin/rattanshunt-lab" engine --platform_at "$platform" --token_us 0 --slots 4000 --load_ms 10
engine=$(address engine 'listening ')
# The direct path has no placement, so the engine that is called directly starts with its model loaded.
start straight "$bin/rattanshunt-lab" engine --token_us 0 --slots 4000 --starts_loaded
straight=$(address straight 'listening ')
start slow "$bin/rattanshunt-lab" engine --platform_at "$platform" --id slow-1 --pool slow --token_us 30000000 --slots 4000 --load_ms 10
address slow 'listening ' >/dev/null
serve d1 dc-1 "$platform" --stream_timeout_ms 120000 --first_token_timeout_ms 120000
client=$(address d1 'client=')
admin=$(address d1 'admin=')
wait_for d1 daemon.ready
cat >"$dir/resources.json" <<'J'
[{"kind":"model","name":"m","spec":{"pool":"drafter","bytes":10}},
 {"kind":"model","name":"slow","spec":{"pool":"slow","bytes":10}},
 {"kind":"account","name":"acme","spec":{"rate":100000000,"burst":200000000}}]
J
"$bin/rattanshunt" apply --admin "$admin" --f "$dir/resources.json" >/dev/null
secret=$("$bin/rattanshunt" key create k --account acme --admin "$admin" | grep -oE 'rsk_[0-9a-f]+')
echo "[{\"name\":\"short\",\"model\":\"m\",\"secret\":\"$secret\",\"max_tokens\":2}]" >"$dir/plan.json"
echo "[{\"name\":\"short\",\"model\":\"m\",\"max_tokens\":2}]" >"$dir/straight.json"
echo "[{\"name\":\"stream\",\"model\":\"slow\",\"secret\":\"$secret\",\"max_tokens\":2,\"stream\":true}]" >"$dir/streams.json"
load() { "$bin/rattanshunt-lab" load --json "$@"; }
field() { grep -m1 "\"$1\"" | grep -oE '[0-9.e-]+,?$' | tr -d ,; }
per_second() { awk -v whole="$1" -v seconds="$2" 'BEGIN { printf "%.0f", whole / seconds }'; }
load --targets "$client" --plan "$dir/plan.json" --rate 20 --seconds 1 >/dev/null

load --targets "$straight" --plan "$dir/straight.json" --concurrency 64 --seconds "$seconds" >"$dir/straight.out"
cpu_before=$(awk '{print $14 + $15}' "/proc/${pid_of[d1]}/stat")
load --targets "$client" --plan "$dir/plan.json" --concurrency 64 --seconds "$seconds" >"$dir/through.out"
cpu_after=$(awk '{print $14 + $15}' "/proc/${pid_of[d1]}/stat")
straight_rate=$(per_second "$(field whole <"$dir/straight.out")" "$seconds")
through_rate=$(per_second "$(field whole <"$dir/through.out")" "$seconds")
half=$((through_rate / 2))
# Direct and proxied runs alternate and medians are compared, so that a pause of the machine affects both alike.
for i in 1 2 3 4 5 6 7; do
    load --targets "$straight" --plan "$dir/straight.json" --rate "$half" --seconds 1.5 >"$dir/half.out"
    field p50_s <"$dir/half.out" >>"$dir/s50"; field p99_s <"$dir/half.out" >>"$dir/s99"
    load --targets "$client" --plan "$dir/plan.json" --rate "$half" --seconds 1.5 >"$dir/half.out"
    field p50_s <"$dir/half.out" >>"$dir/t50"; field p99_s <"$dir/half.out" >>"$dir/t99"
done
median() { sort -g "$1" | sed -n 4p; }
cat >"$dir/table.awk" <<'A'
BEGIN {
    printf "saturated, 64 concurrent requests:  direct %d/s, through one daemon %d/s, ratio %.2f\n", straight, through, through / straight
    printf "CPU use of the daemon while saturated: %.2f cores\n", cpu / 100 / seconds
    printf "at %d/s:  direct p50 %.3f ms p99 %.3f ms;  through p50 %.3f ms p99 %.3f ms;  added p50 %.3f ms p99 %.3f ms\n", half, s50 * 1000, s99 * 1000, t50 * 1000, t99 * 1000, (t50 - s50) * 1000, (t99 - s99) * 1000
}
A
awk -v straight="$straight_rate" -v through="$through_rate" -v half="$half" -v cpu="$((cpu_after - cpu_before))" -v seconds="$seconds" \
    -v s50="$(median "$dir/s50")" -v s99="$(median "$dir/s99")" \
    -v t50="$(median "$dir/t50")" -v t99="$(median "$dir/t99")" -f "$dir/table.awk"
echo "p99 of each run through the daemon, in s: $(sort -g "$dir/t99" | tr '\n' ' ')"

rss() { awk '/VmRSS/ {print $2}' "/proc/${pid_of[d1]}/status"; }
before=$(rss)
start streams "$bin/rattanshunt-lab" load --targets "$client" --plan "$dir/streams.json" --rate 1500 --seconds 1.4 --json
sleep 3
after=$(rss)
open=$("$bin/rattanshunt" status --admin "$admin" | grep -m1 requests_under_way | grep -oE '[0-9]+')
awk -v before="$before" -v after="$after" -v open="$open" 'BEGIN { printf "open idle streams: %d, memory increase %d KB, %.1f KB each\n", open, after - before, (after - before) / open }'

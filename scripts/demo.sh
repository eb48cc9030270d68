#!/usr/bin/env bash
# Runs a small fleet on loopback under a burst of load with injected faults, then checks what its clients saw against
# the guarantees that must always hold and prints a table. Exits with 1 if a guarantee was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-build}
export RATTANSHUNT_FLEET_SECRET=demo-secret-demo-secret
source scripts/common.sh

echo "starting a platform stand-in, 6 engines, 2 services and 3 daemons in 3 data centres"
start platform "$bin/rattanshunt-lab" platform --loads_per_second 2 --list_lag_ms 300
platform=$(address platform 'listening ')
engines=()
for i in 1 2 3 4; do
    start "drafter-$i" "$bin/rattanshunt-lab" engine --platform_at "$platform" --id "drafter-$i" --pool drafter \
        --memory 100 --slots 16 --load_ms 400 --center "dc-$((i % 3 + 1))" --checks_fencing=$([ $((i % 2)) = 0 ] && echo true || echo false)
    engines+=("$(address "drafter-$i" 'listening ')")
done
for i in 1 2; do
    start "dispatch-$i" "$bin/rattanshunt-lab" engine --platform_at "$platform" --id "dispatch-$i" --pool dispatch \
        --memory 100 --slots 16 --load_ms 200 --center "dc-$i"
    engines+=("$(address "dispatch-$i" 'listening ')")
    start "notice-$i" "$bin/rattanshunt-lab" service --platform_at "$platform" --id "notice-$i" --pool notice
done
services=("$(address notice-1 'listening ')" "$(address notice-2 'listening ')")
for i in 1 2 3; do serve "d$i" "dc-$i" "$platform" --session_seconds 3 --drain_ms 500; done
clients=(); admins=()
for i in 1 2 3; do
    clients+=("$(address "d$i" 'client=')")
    admins+=("$(address "d$i" 'admin=')")
    wait_for "d$i" daemon.ready
done
admin=${admins[1]}

echo "applying a configuration like the Consortium's: 9 models, 3 adapters, 3 client accounts, 2 routes"
{
    echo '['
    for i in 1 2 3 4 5 6; do
        echo "{\"kind\":\"model\",\"name\":\"bulletin-$i\",\"spec\":{\"pool\":\"drafter\",\"bytes\":45,\"value\":\"high\"}},"
    done
    for i in 1 2 3; do
        echo "{\"kind\":\"model\",\"name\":\"reply-$i\",\"spec\":{\"pool\":\"dispatch\",\"bytes\":30}},"
        echo "{\"kind\":\"adapter\",\"name\":\"parish-$i\",\"spec\":{\"model\":\"bulletin-$i\",\"bytes\":2}},"
    done
    cat <<'J'
{"kind":"account","name":"ministry","spec":{"rate":20000,"burst":40000,"weight":2}},
{"kind":"account","name":"schools","spec":{"rate":8000,"burst":16000}},
{"kind":"account","name":"parishes","spec":{"rate":1500,"burst":3000}},
{"kind":"service","name":"notice","spec":{"pool":"notice"}},
{"kind":"route","name":"send-notice","spec":{"prefix":"/notices","service":"notice","tokens":1}},
{"kind":"route","name":"closures","spec":{"prefix":"/closures","service":"notice","open":true,"repeatable":true}}]
J
} >"$dir/resources.json"
"$bin/rattanshunt" apply --admin "$admin" --f "$dir/resources.json" >/dev/null
declare -A secret
for account in ministry schools parishes; do
    secret[$account]=$("$bin/rattanshunt" key create "$account-1" --account "$account" --admin "$admin" | grep -oE 'rsk_[0-9a-f]+')
done
withdrawn=$("$bin/rattanshunt" key create schools-2 --account schools --admin "$admin" | grep -oE 'rsk_[0-9a-f]+')
{
    echo '['
    for i in 1 2 3 4 5 6; do
        echo "{\"name\":\"bulletin\",\"model\":\"bulletin-$i\",\"secret\":\"${secret[ministry]}\",\"stream\":true,\"max_tokens\":120,\"prompt_bytes\":400,\"share\":0.6},"
    done
    for i in 1 2 3; do
        echo "{\"name\":\"reply\",\"model\":\"reply-$i\",\"secret\":\"${secret[schools]}\",\"max_tokens\":12,\"share\":3},"
        echo "{\"name\":\"adapter\",\"model\":\"parish-$i\",\"secret\":\"${secret[ministry]}\",\"max_tokens\":24,\"share\":0.5},"
    done
    cat <<J
{"name":"five-times-rate","model":"reply-1","secret":"${secret[parishes]}","max_tokens":100,"share":6,"deadline_ms":1500},
{"name":"withdrawn-key","model":"reply-2","secret":"$withdrawn","max_tokens":8,"share":2},
{"name":"notice","path":"/notices","secret":"${secret[ministry]}","idempotency_key":true,"share":4},
{"name":"open-route","path":"/closures","share":2}]
J
} >"$dir/plan.json"
sleep 1.5

echo "load: 160 requests/s for 14 s; a key is withdrawn at 4 s, d3 stops gracefully at 6 s, d1 is killed at 9 s"
IFS=, ; targets="${clients[*]}"; unset IFS
start load "$bin/rattanshunt-lab" load --targets "$targets" --plan "$dir/plan.json" --rate 160 --seconds 14 --json
sleep 4
"$bin/rattanshunt" key withdraw schools-2 --admin "$admin" >/dev/null
sleep 2
kill -TERM "${pid_of[d3]}"
sleep 3
kill -KILL "${pid_of[d1]}"
wait "${pid_of[d3]}" && d3_exit=0 || d3_exit=$?
wait "${pid_of[load]}" || true
for address in "${engines[@]}"; do curl -s "http://$address/state"; echo; done >"$dir/engines.json"
for address in "${services[@]}"; do curl -s "http://$address/runs"; echo; done >"$dir/services.json"
after=$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $withdrawn" "http://${clients[1]}/v1/models")
"$bin/rattanshunt" report --admin "$admin" --format html >"$bin/demo-report.html"
"$bin/rattanshunt-lab" verdict --load "$dir/load" --engines "$dir/engines.json" --services "$dir/services.json" \
    --withdrawn_status "$after" --stop_exit "$d3_exit"
echo "service-level report of the remaining daemon: $bin/demo-report.html"

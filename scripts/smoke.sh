#!/usr/bin/env bash
# Starts one of each process on loopback and sends a little load: a quick look at the whole path.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-build}
dir=$(mktemp -d)
pids=()
stop_all() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$dir"; }
trap stop_all EXIT

# Waits until a process has said where it listens and prints that address.
address_of() {
    for _ in $(seq 100); do
        local line; line=$(grep -m1 -oE "$2" "$1" 2>/dev/null | head -1) && [ -n "$line" ] && { echo "${line##*[ =]}"; return; }
        sleep 0.05
    done
    echo "no address in $1" >&2; cat "$1" >&2; return 1
}

"$bin/rattanshunt-lab" platform >"$dir/platform" 2>&1 & pids+=($!)
platform=$(address_of "$dir/platform" 'listening [0-9.:]+')
"$bin/rattanshunt-lab" engine --platform_at "$platform" --id engine-1 >"$dir/engine" 2>&1 & pids+=($!)
"$bin/rattanshunt-lab" service --platform_at "$platform" --id ledger-1 --pool ledger >"$dir/service" 2>&1 & pids+=($!)
export RATTANSHUNT_FLEET_SECRET=smoke-secret-smoke-secret
"$bin/rattanshunt" serve --name d1 --data_center dc-1 --platform "$platform" --client_listen 127.0.0.1:0 \
    --peer_listen 127.0.0.1:0 --admin_listen 127.0.0.1:0 --log_level debug >"$dir/d1" 2>&1 & pids+=($!)
client=$(address_of "$dir/d1" 'client=[0-9.:]+')
admin=$(address_of "$dir/d1" 'admin=[0-9.:]+')
for _ in $(seq 100); do grep -q daemon.ready "$dir/d1" && break; sleep 0.05; done
cat >"$dir/resources.json" <<'J'
[{"kind":"model","name":"draft-1","spec":{"pool":"drafter","bytes":40}},
 {"kind":"account","name":"acme","spec":{"rate":100000,"burst":200000}},
 {"kind":"service","name":"ledger","spec":{"pool":"ledger"}},
 {"kind":"route","name":"swap","spec":{"prefix":"/swap","service":"ledger"}}]
J
"$bin/rattanshunt" apply --admin "$admin" --f "$dir/resources.json"
secret=$("$bin/rattanshunt" key create acme-1 --account acme --admin "$admin" | grep -oE 'rsk_[0-9a-f]+')
cat >"$dir/plan.json" <<J
[{"name":"short","model":"draft-1","secret":"$secret","max_tokens":8,"share":5},
 {"name":"stream","model":"draft-1","secret":"$secret","max_tokens":64,"stream":true},
 {"name":"swap","path":"/swap","secret":"$secret","idempotency_key":true}]
J
sleep 1
"$bin/rattanshunt-lab" load --targets "$client" --plan "$dir/plan.json" --rate 100 --seconds 3
"$bin/rattanshunt" status --admin "$admin"
"$bin/rattanshunt" report --admin "$admin"
kill "${pids[3]}"; wait "${pids[3]}" && echo "graceful stop: exit 0"
grep -v 'event=request' "$dir/d1" | tail -20

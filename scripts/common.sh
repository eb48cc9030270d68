# Helpers for scripts that start stand-ins and daemons on loopback. Sourced, not run.
# Only processes started here are killed, each by its process id.

dir=$(mktemp -d)
declare -gA pid_of

stop_all() {
    for name in "${!pid_of[@]}"; do kill -KILL "${pid_of[$name]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap stop_all EXIT

# start NAME PROGRAM ARGS...: starts a process and writes its output to $dir/NAME.
start() {
    local name=$1; shift
    "$@" >"$dir/$name" 2>&1 &
    pid_of[$name]=$!
}

# address NAME PATTERN: waits up to 10 s until NAME has printed PATTERN and an address after it; prints IP:PORT.
address() {
    local line
    for _ in $(seq 200); do
        line=$(grep -m1 -oE "$2[0-9.]+:[0-9]+" "$dir/$1" 2>/dev/null | head -1) || true
        if [ -n "$line" ]; then echo "${line##*[ =]}"; return; fi
        sleep 0.05
    done
    echo "$1 printed no listening address within 10 s; its output:" >&2
    cat "$dir/$1" >&2
    return 1
}

# wait_for NAME TEXT: waits up to 20 s until NAME has printed TEXT.
wait_for() {
    for _ in $(seq 400); do grep -q "$2" "$dir/$1" && return; sleep 0.05; done
    echo "$1 did not print \"$2\" within 20 s" >&2
    return 1
}

# serve NAME DATA_CENTER PLATFORM FLAGS...: starts a daemon on free ports.
serve() {
    start "$1" "$bin/rattanshunt" serve --name "$1" --data_center "$2" --platform "$3" --client_listen 127.0.0.1:0 \
        --peer_listen 127.0.0.1:0 --admin_listen 127.0.0.1:0 "${@:4}"
}

# Shared by the experiments: starts programs, terminates them by the process ids it started, reads CPU time and memory.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
bin=${BIN:-build-dev/bin}
site=examples/sombrilla
log=$(mktemp -d)
pids=()

start() {
    local name=$1
    shift
    "$@" >"$log/$name.log" 2>&1 &
    pids+=($!)
}

finish() {
    kill "${pids[@]}" 2>/dev/null
    wait "${pids[@]}" 2>/dev/null
}
trap finish EXIT

ctl() { "$bin/flamingoctl" --admin=127.0.0.1:18081 --operator_token=example-operator-token "$@"; }

# CPU time of a process in microseconds.
cpu_us() { awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000000 / hz}' "/proc/$1/stat"; }

# Resident memory of a process in kB.
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

# A field of one line of JSON.
json_field() { sed -n "s/.*\"$1\":\([0-9.]*\).*/\1/p"; }

wait_ready() {
    for _ in $(seq 300); do
        [ "$(curl -s -o /dev/null -m 2 -w '%{http_code}' "http://$1/flamingo/v1/ready")" = 200 ] && return 0
        sleep 0.1
    done
    echo "$1 is not ready; see $log" >&2
    return 1
}

#!/usr/bin/env bash
# Installs what is declared, builds, and runs one of: demo, test, build,
# bench, capacity. BUILDING.md describes each.
set -euo pipefail
cd "$(dirname "$0")"

build_dir=${BUILD_DIR:-build}
run_dir=run
trace_id=4bf92f3577b34da6a3ce929d0e0e4736

# What the deployed build needs, and what tests and checks need beside it.
declared_packages() {
    sed -n '/^packages/,/^]/s/^ *"\(.*\)",$/\1/p' deploy/system.toml
    cat .ci/packages
}

install_packages() {
    local missing
    missing=$(declared_packages | while read -r package; do
        dpkg -s "$package" >/dev/null 2>&1 || echo "$package"
    done)
    [ -z "$missing" ] && return
    apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
        --no-install-recommends $missing >/dev/null
}

build() {
    cmake -G Ninja -B "$build_dir" -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
        -DBARLEYFORK_WARNINGS_AS_ERRORS=ON >/dev/null
    ninja -C "$build_dir"
}

started=()

stop_started() {
    for pid in "${started[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
}

# Repeats a command until it holds, up to 20 s.
eventually() {
    for _ in $(seq 200); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "demo: did not hold: $*" >&2
    return 1
}

register() {
    curl -sf -X PUT "http://127.0.0.1:7100/instances/entry-$1" -d \
        "{\"instance\":\"entry-$1\",\"role\":\"daemon\",\"state\":\"live\",
          \"address\":\"127.0.0.1\",\"port\":732$1,\"region\":\"parana\",
          \"failure_domain\":\"parana-$1\"}" >/dev/null
}

stream() {
    curl -sfN "http://127.0.0.1:7300/v1/chat/completions" \
        -H "Authorization: Bearer key-of-outage-desk" \
        -H "traceparent: 00-$trace_id-00f067aa0ba902b7-01" -d \
        '{"model":"drafter-0","stream":true,"max_tokens":5,
          "messages":[{"role":"user","content":"when?"}]}' \
        > "$run_dir/stream.txt" && grep -q 'data: \[DONE\]' "$run_dir/stream.txt"
}

book() {
    curl -sf "http://127.0.0.1:7301/restorations/book" \
        -H "Authorization: Bearer key-of-crews" \
        -H "Idempotency-Key: booking-1" -d '{"street":"Laprida 300"}'
}

demo() {
    local bin="$build_dir/tools" tool
    mkdir -p "$run_dir"
    trap stop_started EXIT
    "$bin/standins/standins" & started+=($!)
    eventually curl -sf http://127.0.0.1:7100/counters
    for i in 0 1 2; do register "$i"; done
    for i in 0 1 2; do
        "$bin/barleyforkd/barleyforkd" --config "samples/demo/daemon-$i.toml" &
        started+=($!)
    done
    tool=("$bin/barleyfork/barleyfork" --key_file samples/demo/operator.key
        --operator_name demo)
    eventually curl -sf http://127.0.0.1:7302/healthz
    eventually "${tool[@]}" --wait apply samples/demo/demo.toml
    eventually stream
    echo "--- the streamed answer"
    cat "$run_dir/stream.txt"
    echo "--- one booking, asked for twice through two daemons"
    local first second
    first=$(book)
    second=$(book)
    echo "$first"
    [ "$first" = "$second" ] || { echo "demo: booked twice" >&2; exit 1; }
    curl -s http://127.0.0.1:7150/counters | grep -q '"booked":1'
    "${tool[@]}" status
    echo "--- the stream's trace"
    "${tool[@]}" --address 127.0.0.1:7310 trace "$trace_id" |
        tee "$run_dir/trace.txt"
    grep -q '^  attempt' "$run_dir/trace.txt"
    for command in get history "explain outage-desk/drafter-0"; do
        # shellcheck disable=SC2086
        "${tool[@]}" $command >/dev/null
    done
    "${tool[@]}" --dry_run apply samples/demo/demo.toml >/dev/null
    for pid in "${started[@]:1}"; do kill -TERM "$pid"; done
    for pid in "${started[@]:1}"; do wait "$pid"; done
    kill -TERM "${started[0]}"
    wait "${started[0]}"
    started=()
    echo "demo: every step held"
}

# One daemon before fast stand-ins; its process is measured from outside.
bench() {
    local bin="$build_dir/tools" tool
    mkdir -p "$run_dir"
    trap stop_started EXIT
    "$bin/standins/standins" --engines 3 --first_token_ms 5 \
        --between_tokens_ms 20 & started+=($!)
    eventually curl -sf http://127.0.0.1:7100/counters
    register 0
    "$bin/barleyforkd/barleyforkd" --config samples/demo/daemon-0.toml &
    started+=($!)
    tool=("$bin/barleyfork/barleyfork" --key_file samples/demo/operator.key
        --operator_name bench)
    eventually curl -sf http://127.0.0.1:7300/healthz
    eventually "${tool[@]}" --wait apply samples/demo/demo.toml
    eventually stream
    sleep 2
    local port
    for port in 7200 7201 7202; do
        curl -s "http://127.0.0.1:$port/report" | grep -q drafter-0 && break
    done
    "$bin/benchmark/benchmark" --daemon_pid "${started[1]}" \
        --engine_port "$port"
    kill -TERM "${started[1]}"
    wait "${started[1]}"
    kill -TERM "${started[0]}"
    wait "${started[0]}"
    started=()
}

run_tests() {
    ctest --test-dir "$build_dir" --output-on-failure
}

case "${1:-build}" in
    build) install_packages; build ;;
    demo) install_packages; build; demo ;;
    test) install_packages; build; run_tests ;;
    bench) install_packages; build; bench ;;
    capacity) install_packages; build
        "$build_dir/tools/capacity/capacity" ;;
    policy) install_packages; build
        "$build_dir/tools/policy_driver/policy_driver" ;;
    *) echo "usage: ./build.sh build|demo|test|bench|capacity|policy" >&2
        exit 2 ;;
esac

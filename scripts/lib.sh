# SPDX-License-Identifier: BSL-1.0
# Helpers of the demo and the process tests: start a small system on
# loopback, wait on events, stop exactly what was started.
# shellcheck shell=bash

BIN=$1
WORK=$(mktemp -d)
PIDS=()
VM_OPTIONS=() # more options of every VM

stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    for pid in "${PIDS[@]}"; do
        wait "$pid" 2> /dev/null || true
    done
    rm -rf "$WORK"
}
trap stop_all EXIT

fail() {
    echo "FAILED: $*" >&2
    tail -n 15 "$WORK"/*.log >&2 2> /dev/null || true
    exit 1
}

# wait_until SECONDS COMMAND...: polls until the command succeeds.
wait_until() {
    local limit=$1
    shift
    local end=$((SECONDS + limit))
    until "$@" > /dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.02
    done
}

# port NAME WHICH: a port from NAME's ports file.
port() {
    sed -n "s/.*$2=\([0-9]*\).*/\1/p" "$WORK/$1.ports"
}

start_standin() { # NAME KIND [OPTIONS...]
    local name=$1 kind=$2
    shift 2
    "$BIN/pepperturn-standin" "$kind" --ports-file "$WORK/$name.ports" "$@" \
        > "$WORK/$name.log" 2>&1 &
    PIDS+=($!)
    eval "PID_$name=$!"
    wait_until 10 test -s "$WORK/$name.ports" || fail "$name did not start"
}

put() { # URL JSON
    curl -sf -X PUT -H 'Content-Type: application/json' -d "$2" "$1" \
        > /dev/null
}

start_vm() { # NAME ZONE [OVERRIDES...]
    local name=$1 zone=$2
    shift 2
    cat > "$WORK/$name.ini" << INI
[vm]
id = $name
availability_zone = $zone
ports_file = $WORK/$name.ports
seed = 7
[store]
url = http://127.0.0.1:$(port store http)
[platform]
url = http://127.0.0.1:$(port platform http)
[operator]
key_salt = demo
key_digest = $OPERATOR_DIGEST
INI
    rm -f "$WORK/$name.ports"
    "$BIN/pepperturnd" --config "$WORK/$name.ini" "$@" \
        >> "$WORK/$name.log" 2>&1 &
    PIDS+=($!)
    eval "PID_$name=$!"
    wait_until 10 test -s "$WORK/$name.ports" || fail "$name did not start"
}

list_vms() { # NAME=ZONE...
    local entry name zone list=""
    for entry in "$@"; do
        name=${entry%%=*}
        zone=${entry#*=}
        list="$list{\"id\":\"$name\",\"address\":\"127.0.0.1:$(port "$name" rpc)\",\"availability_zone\":\"$zone\",\"state\":\"live\"},"
    done
    put "http://127.0.0.1:$(port platform http)/v1/vms" \
        "{\"vms\":[${list%,}],\"leaving_runners\":[]}"
}

ctl() {
    "$BIN/pepperturnctl" --url "http://127.0.0.1:$(port "${VM:-a}" http)" "$@"
}

# chat VM PROGRAM SESSION SEQ TEXT [CURL OPTIONS...]: one turn; the body is
# printed, the headers land in $WORK/headers.
chat() {
    local vm=$1 program=$2 session=$3 seq=$4 text=$5
    shift 5
    curl -s -m 60 -D "$WORK/headers" \
        -H "Authorization: Bearer $KEY" -H "Pepperturn-Program: $program" \
        -H "Pepperturn-Session: $session" -H "Pepperturn-Seq: $seq" "$@" \
        -d "{\"model\":\"agent-llm\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"$text\"}]}" \
        "http://127.0.0.1:$(port "$vm" http)/v1/chat/completions"
}

# service VM PROGRAM SESSION SEQ BODY [CURL OPTIONS...]
service() {
    local vm=$1 program=$2 session=$3 seq=$4 body=$5
    shift 5
    curl -s -m 60 -D "$WORK/headers" \
        -H "Authorization: Bearer $KEY" -H "Pepperturn-Program: $program" \
        -H "Pepperturn-Session: $session" -H "Pepperturn-Seq: $seq" "$@" \
        -X POST -d "$body" \
        "http://127.0.0.1:$(port "$vm" http)/v1/services/receipt-app/receipts"
}

header() {
    tr -d '\r' < "$WORK/headers" | sed -n "s/^$1: //Ip" | tail -n 1
}

effects() { # how often the service saw BODY
    curl -s "http://127.0.0.1:$(port service http)/standin/effects" |
        python3 -c "import json,sys; d=json.load(sys.stdin); print(sum(v for k,v in d.items() if k.endswith(' '+sys.argv[1])))" "$1"
}

ready() { # every VM given has its share of partitions and a configuration
    local vm
    for vm in "$@"; do
        curl -sf "http://127.0.0.1:$(port "$vm" http)/healthz" || return 1
    done
    [ "$(VM=$1 ctl --json partitions | grep -o '"role":"owner"' | wc -l)" = 16 ]
}

owner_of() { # PROGRAM: the VM that owns it
    VM=${VM:-a} ctl --json programs |
        python3 -c "import json,sys
print(next((p['vm'] for p in json.load(sys.stdin) if p['program']==sys.argv[1]),''))" "$1"
}

# A small Moravia: store, platform, two engines, one service, three VMs.
start_moravia() {
    OPERATOR=operator-key
    export PEPPERTURN_KEY=$OPERATOR
    OPERATOR_DIGEST=$(printf 'demo:%s' "$OPERATOR" | sha256sum | cut -c1-64)
    KEY=moravia.demo-secret
    KEY_DIGEST=$(printf 's1:%s' "$KEY" | sha256sum | cut -c1-64)
    OTHER_KEY=cadence.other-secret
    OTHER_DIGEST=$(printf 's2:%s' "$OTHER_KEY" | sha256sum | cut -c1-64)
    start_standin store store
    start_standin platform platform
    start_standin engine1 engine --decode-rate "${DECODE_RATE:-200}" --slots "${SLOTS:-8}"
    start_standin engine2 engine --decode-rate "${DECODE_RATE:-200}" --slots "${SLOTS:-8}"
    start_standin service service
    start_vm a brno-a "${VM_OPTIONS[@]}"
    start_vm b brno-b "${VM_OPTIONS[@]}"
    start_vm c olomouc "${VM_OPTIONS[@]}"
    list_vms a=brno-a b=brno-b c=olomouc
    cat > "$WORK/moravia.ini" << INI
[upstream agent-llm]
kind = chat
timeout_ms = 30000
[upstream receipt-app]
kind = service
repeatable = false
timeout_ms = 20000
[runner llm-1]
upstream = agent-llm
address = http://127.0.0.1:$(port engine1 http)
slots = ${SLOTS:-8}
availability_zone = brno-a
[runner llm-2]
upstream = agent-llm
address = http://127.0.0.1:$(port engine2 http)
slots = ${SLOTS:-8}
availability_zone = brno-b
[runner receipts-1]
upstream = receipt-app
address = http://127.0.0.1:$(port service http)
availability_zone = brno-a
[workspace moravia]
key_salt = s1
key_digest = $KEY_DIGEST
budget_tokens = 200000
[workspace cadence]
key_salt = s2
key_digest = $OTHER_DIGEST
${EXTRA_CONFIG:-}
INI
    ctl config put "$WORK/moravia.ini" > /dev/null ||
        fail "the configuration was not taken"
    wait_until 20 ready a b c || fail "the system did not become ready"
}

# SPDX-License-Identifier: BSL-1.0
# A runner whose answers are broken in their heads: another one serves what it
# may, everything else is unknown, and nothing of it reaches a caller.
set -euo pipefail
. "$(dirname "$0")/../../scripts/lib.sh" "$1"
"$BIN/pepperturn-heads" "$WORK/broken.ports" "$WORK/go" > "$WORK/heads.log" 2>&1 &
HEADS=$!
PIDS+=("$HEADS")
wait_until 10 test -s "$WORK/broken.ports" || fail "the runner did not start"
start_standin good_engine engine --decode-rate 2000
start_standin good_service service
broken="http://127.0.0.1:$(port broken http)"
runner() { # NAME UPSTREAM URL
    printf '[runner %s-%s]\nupstream = %s\naddress = %s\nslots = 8\navailability_zone = brno-a\n' \
        "$2" "$1" "$2" "$3"
}
upstream() { # NAME KIND REPEATABLE
    printf '[upstream %s]\nkind = %s\nrepeatable = %s\n' "$@"
}
# A runner is left alone for a second after a broken answer: the broken one has
# many names, or serves many upstreams. Of the runners of an upstream without
# load the first by name is asked first.
upstreams() {
    local number
    upstream once service false
    upstream turn-once chat false
    for number in $(seq 100 140); do
        runner "broken-$number" once "$broken"
        runner "broken-$number" turn-once "$broken"
    done
    for number in $(seq 0 15); do
        upstream "again-$number" service true
        runner broken "again-$number" "$broken"
        runner good "again-$number" "http://127.0.0.1:$(port good_service http)"
        for kind in turn stream; do
            upstream "$kind-$number" chat true
            runner broken "$kind-$number" "$broken"
            runner good "$kind-$number" "http://127.0.0.1:$(port good_engine http)"
        done
    done
}
EXTRA_CONFIG="[scheduler]
routing = least_loaded
retry_ratio = 1.0
$(upstreams)"
start_moravia
# Operators are told so, too; the path names the form.
! "$BIN/pepperturnctl" --url "$broken/form-0" vms > "$WORK/ctl" 2>&1 ||
    fail "pepperturnctl took a broken answer"
grep -q 'no answer: broken response head: status' "$WORK/ctl" ||
    fail "pepperturnctl does not say why: $(cat "$WORK/ctl")"
echo "$(port a http) $KEY" > "$WORK/go.new"
mv "$WORK/go.new" "$WORK/go"
wait "$HEADS" || fail "broken heads: $(head -c 20000 "$WORK/heads.log")"
tail -n 1 "$WORK/heads.log"

# From the unknown outcome to its cause.
grep -q 'event=response_head_refused .*fault=status status=0' "$WORK"/[abc].log ||
    fail "no line says which head was refused"
refused=0
for vm in a b c; do
    count=$(curl -s "http://127.0.0.1:$(port $vm http)/metrics" |
        sed -n 's/^pepperturn_refused_heads_field_name //p')
    refused=$((refused + count))
done
[ "$refused" -gt 0 ] || fail "no metric counts the refused heads"

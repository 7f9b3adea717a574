# SPDX-License-Identifier: BSL-1.0
# TLS towards callers and mutual TLS between VMs: calls through any VM work
# with it, plain or foreign callers get nowhere.
set -euo pipefail
. "$(dirname "$0")/../../scripts/lib.sh" "$1"
make_key() { # NAME ISSUER
    openssl req -newkey rsa:2048 -nodes -keyout "$WORK/$1.key" \
        -subj "/CN=$1" -out "$WORK/$1.csr" 2> /dev/null
    printf 'subjectAltName=DNS:127.0.0.1,IP:127.0.0.1\n' > "$WORK/$1.ext"
    openssl x509 -req -in "$WORK/$1.csr" -CA "$WORK/$2.pem" \
        -CAkey "$WORK/$2.key" -CAcreateserial -days 2 \
        -extfile "$WORK/$1.ext" -out "$WORK/$1.pem" 2> /dev/null
}
for authority in authority stranger; do
    openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj "/CN=$authority" \
        -keyout "$WORK/$authority.key" -out "$WORK/$authority.pem" 2> /dev/null
done
make_key vm authority
make_key foreign stranger
rpc=(--set "tls.rpc_certificate=$WORK/vm.pem" --set "tls.rpc_key=$WORK/vm.key"
    --set "tls.rpc_authority=$WORK/authority.pem")
VM_OPTIONS=("${rpc[@]}")
start_moravia
chat a p1 main 1 "one" > /dev/null
chat b p1 main 2 "two" > /dev/null
chat c p1 main 3 "three" > "$WORK/body"
grep -q "seen=5 " "$WORK/body" || fail "calls through TLS between VMs"
# Nobody without the authority's certificate gets an answer from the RPC port.
if openssl s_client -connect "127.0.0.1:$(port a rpc)" -cert "$WORK/foreign.pem" \
    -key "$WORK/foreign.key" -CAfile "$WORK/authority.pem" -quiet \
    < /dev/null > "$WORK/foreign" 2>&1 && ! grep -qi "alert\|error" "$WORK/foreign"; then
    fail "a foreign certificate was taken: $(cat "$WORK/foreign")"
fi
# A fourth VM serves callers over HTTPS.
start_vm d brno-a "${rpc[@]}" --set "tls.http_certificate=$WORK/vm.pem" \
    --set "tls.http_key=$WORK/vm.key"
list_vms a=brno-a b=brno-b c=olomouc d=brno-a
https="https://127.0.0.1:$(port d http)"
healthy() { curl -sf --cacert "$WORK/authority.pem" "$https/healthz"; }
wait_until 20 healthy || fail "no health over HTTPS"
turn() {
    curl -s -m 20 --cacert "$WORK/authority.pem" -H "Authorization: Bearer $KEY" \
        -H "Pepperturn-Program: p1" -H "Pepperturn-Seq: 4" \
        -d '{"model":"agent-llm","max_tokens":8,"messages":[{"role":"user","content":"four"}]}' \
        "$https/v1/chat/completions" > "$WORK/body"
    grep -q "seen=7 " "$WORK/body"
}
wait_until 20 turn || fail "a call over HTTPS: $(cat "$WORK/body")"
# The project's own client verifies the VM's certificate.
SSL_CERT_FILE="$WORK/authority.pem" "$BIN/pepperturnctl" --url "$https" vms \
    > "$WORK/vms" 2>&1 || fail "pepperturnctl over HTTPS: $(cat "$WORK/vms")"
! SSL_CERT_FILE="$WORK/stranger.pem" "$BIN/pepperturnctl" --url "$https" vms \
    > "$WORK/vms" 2>&1 || fail "pepperturnctl took an unknown certificate"
if curl -s -m 3 "http://127.0.0.1:$(port d http)/healthz" > /dev/null; then
    fail "the HTTPS port answered plain HTTP"
fi
echo "1 passed, 0 failed"

# SPDX-License-Identifier: BSL-1.0
# An engine and a service break their answers off: the caller of the stream
# gets no end of its framing, asking again brings the whole answer, and the
# unrepeatable call is unknown and not sent again.
set -euo pipefail
. "$(dirname "$0")/../../scripts/lib.sh" "$1"
start_moravia
stream() { # PROGRAM SEQ
    curl -sN -m 30 -H "Authorization: Bearer $KEY" \
        -H "Pepperturn-Program: $1" -H "Pepperturn-Session: main" \
        -H "Pepperturn-Seq: $2" \
        -d '{"model":"agent-llm","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"draft"}]}' \
        "http://127.0.0.1:$(port a http)/v1/chat/completions"
}
faults() { # STANDIN JSON
    put "http://127.0.0.1:$(port "$1" http)/standin/faults" "$2"
}
# What curl says of a transfer that ended before its framing did.
curl_partial=18

for engine in engine1 engine2; do
    faults $engine '{"cut_after_tokens": 3, "cut_streams": 1}'
done
code=0
stream p1 1 > "$WORK/cut" || code=$?
[ "$code" = "$curl_partial" ] || fail "the cut stream looked whole: $code"
grep -q '"content"' "$WORK/cut" || fail "no part of the answer came"
grep -q 'pepperturn_unknown' "$WORK/cut" || fail "no error event came"
! grep -qF '[DONE]' "$WORK/cut" || fail "the cut stream has an end marker"
grep -q 'event=answer_broken_off .*reason="no end marker"' "$WORK/a.log" ||
    fail "the log does not say that the engine broke off"
grep -q 'event=caller_stream_broken_off' "$WORK/a.log" ||
    fail "the log does not say that the caller's stream was broken off"

for engine in engine1 engine2; do
    faults $engine '{"cut_streams": 0}'
done
stream p1 1 > "$WORK/whole" || fail "asking again did not bring a whole stream"
grep -qF '[DONE]' "$WORK/whole" || fail "no end marker after asking again"
[ "$(grep -c '"content"' "$WORK/whole")" = 8 ] || fail "pieces are missing"

faults service '{"lose_answers": 1}'
service a p1 main 2 "receipt-1" > /dev/null
[ "$(header Pepperturn-Outcome)" = unknown ] || fail "a cut reply was a result"
service a p1 main 2 "receipt-1" > /dev/null
[ "$(header Pepperturn-Outcome)" = unknown ] || fail "it is no longer unknown"
[ "$(effects receipt-1)" = 1 ] || fail "the receipt was issued twice"
echo "1 passed, 0 failed"

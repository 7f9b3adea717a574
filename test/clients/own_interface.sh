#!/usr/bin/env bash
# SPDX-License-Identifier: BSL-1.0
# One crowd of clients outside the limits at a pepperturnd, whose own limits
# are lowered: own_interface.sh BIN_FOLDER CASE
set -euo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"
case=$2
MAX_CONNECTIONS=200
VM_OPTIONS=(--set "callers.max_connections=$MAX_CONNECTIONS"
    --set callers.max_buffered_bytes=$((16 << 20)))
start_moravia

answered() { # SEQ: an ordinary call through the VM that the crowd meets
    chat a "crowd$1" s 1 "an ordinary call" | grep -q '"finish_reason"'
}
answered 1 || fail "no ordinary answer before the crowd"
"$BIN/pepperturn-clients" "$case" "$(port a http)" "$PID_a" ||
    fail "$case: a bound was passed"
kill -0 "$PID_a" || fail "the process has ended"
answered 2 || fail "no ordinary answer after the crowd"

#!/bin/sh
# SPDX-License-Identifier: BSL-1.0
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/pepperturn-edge ] && [ -x target/bin/pepperturn-storage ] &&
    [ -x target/review/case-3 ] || exit 2
exec target/review/case-3 review/3/record.txt

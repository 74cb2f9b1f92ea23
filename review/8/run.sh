#!/bin/sh
# The store comes back from an older copy while all gateways are killed. Exits with 1 if a window of usage is
# reported with different counts.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/release/review-case-2 windows review/8/record.txt

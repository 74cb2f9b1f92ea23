#!/bin/sh
# The gateways that read the store freeze just before a runner leaves. Exits with 1 if requests reach the runner
# later than drain_ms.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/release/review-case-2 handover review/8/record.txt

#!/bin/sh
# Gateways are stopped and started in turn. Exits with 1 if a request that ran got no answer.
# With TROUBLE=0, it does the same without the disruption. Exits with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
for program in target/release/chervilspur-gateway target/review-2/release/review-case-2; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
target/review-2/release/review-case-2 roll review/6/record.txt
result=$?
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac

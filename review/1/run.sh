#!/bin/sh
# Runs the case; needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/endless_event
[ -x "$program" ] && [ -x target/release/chervilspur-gateway ] || exit 2
exec "$program" review/1/record.txt

#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. Needs no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/review-3

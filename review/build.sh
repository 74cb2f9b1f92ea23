#!/bin/sh
# Builds the stand-ins and drivers of the scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml \
    --target-dir target/review

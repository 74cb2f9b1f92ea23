#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use no package but the standard library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --quiet \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2

#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, offline.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/standin-3/Cargo.toml \
    --target-dir target/review-3

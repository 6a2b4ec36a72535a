#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2

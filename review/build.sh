#!/bin/bash
# Builds the stand-ins that the scripts start. Needs no network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --offline --manifest-path "$root/review/standin/Cargo.toml" --target-dir "$root/target/review"

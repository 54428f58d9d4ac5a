#!/usr/bin/env bash
# Builds the stand-ins of the third review. They have no dependencies, so it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/review-3

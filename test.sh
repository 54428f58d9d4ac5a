#!/usr/bin/env bash
# Formatter, linter and tests. The same verdict every time.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets --quiet -- -D warnings
cargo build --locked --workspace --bins --quiet
cargo test --locked --workspace --quiet

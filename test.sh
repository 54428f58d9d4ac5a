#!/usr/bin/env bash
# Formatter, linter and tests. The same verdict every time.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets --quiet -- -D warnings
cargo build --locked --workspace --bins --quiet

# Tests named in KNOWN-RED.txt fail for faults that aren't mended yet: passed over and printed.
skips=()
while read -r name; do
    echo "known red, passed over: $name"
    skips+=(--skip "$name")
done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
cargo test --locked --workspace --quiet -- "${skips[@]}"

#!/usr/bin/env bash
# Runs the formatter check, the linter and the tests. Repeated runs on the same source are meant to
# give the same result.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets --quiet -- -D warnings
cargo build --locked --workspace --bins --quiet

# Skips the tests listed in KNOWN-RED.txt, which fail because of known open faults, and prints them.
skips=()
while read -r name; do
    echo "known red, passed over: $name"
    skips+=(--skip "$name")
done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
cargo test --locked --workspace --quiet -- "${skips[@]}"

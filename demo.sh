#!/usr/bin/env bash
# Runs a short load on two daemons, two engines of different speed and a booking server, all on
# loopback, and repeats it under two baseline policies. Prints goodput by tier and wasted prefill.
set -euo pipefail
cd "$(dirname "$0")"
exec ./run-scenario.sh "$@" scenarios/demo/twice.json

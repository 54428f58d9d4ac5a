#!/usr/bin/env bash
# A short load on two daemons, two engines of unlike speed and a booking server, all on loopback;
# then the same load with two baselines. Prints goodput by tier and wasted prefill as a table.
set -euo pipefail
cd "$(dirname "$0")"
exec ./run-scenario.sh "$@" scenarios/demo/twice.json

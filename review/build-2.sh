#!/usr/bin/env bash
# Builds what the scripts of the second review start, without a network: bin/second, which holds the cases and their stand-ins for
# clients, cache nodes and the journal service. Run it after the build command of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
GOPROXY=off GOFLAGS="-mod=readonly ${GOFLAGS:-}" go build -buildvcs=false -o bin/second ./review/second

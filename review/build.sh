#!/usr/bin/env bash
# Builds the stand-ins of the review into review/bin. Needs no network. Run the build command of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/standin ./review/standin

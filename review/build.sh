#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/cmd/...

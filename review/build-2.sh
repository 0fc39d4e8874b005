#!/bin/sh
# Builds the stand-ins of the second review's cases into target/review-2. The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/cmd/double-slash ./review/cmd/late-predecessor ./review/cmd/many-fields ./review/cmd/unconnected-host ./review/cmd/unproved-release

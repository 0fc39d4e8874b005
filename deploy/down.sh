#!/usr/bin/env bash
# Stops a sample deployment that deploy/up.sh started: deploy/down.sh archive|railhalt
set -euo pipefail
cd "$(dirname "$0")/.."
pids="run/$1/pids"
[ -f "$pids" ] || exit 0
ids=$(cut -d' ' -f1 "$pids")
kill $ids 2>/dev/null || true
for _ in $(seq 100); do
  kill -0 $ids 2>/dev/null || break
  sleep 0.1
done
rm -f "$pids"

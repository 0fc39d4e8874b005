#!/usr/bin/env bash
# Starts a sample deployment on this machine: deploy/up.sh archive|railhalt
# Each host has its own address in 127.0.0.0/8. Process IDs are written to
# run/<name>/pids, logs to run/<name>/*.log. deploy/down.sh stops the deployment.
set -euo pipefail
name=$1
cd "$(dirname "$0")/.."
bin=${SESAME_BIN:-run/bin}
mkdir -p "run/$name" "$bin"
[ -n "${SESAME_NO_BUILD:-}" ] || go build -o "$bin" ./cmd/...
: >"run/$name/pids"

start() { # log name, command
  local id=$1
  shift
  "$@" 2>>"run/$name/$id.log" &
  echo "$! $id" >>"run/$name/pids"
}

for f in deploy/"$name"/control-*.toml; do
  id=$(basename "$f" .toml | sed 's/^control-//')
  # Forms the control group on the first start only; an existing data directory is kept.
  [ -d "run/$name/$id" ] || "$bin/sesame-control" -settings "$f" -format
  start "$id" "$bin/sesame-control" -settings "$f"
done
for f in deploy/"$name"/entry-*.toml; do
  start "$(basename "$f" .toml | sed 's/^entry-//')" "$bin/sesame-entry" -settings "$f"
done
grep -v '^#' "deploy/$name/backends.txt" | while read -r id addr kind serves slots entries; do
  start "$id" "$bin/sesame-standin" -id "$id" -listen "$addr" -kind "$kind" -models "$serves" \
    -slots "$slots" -entries "$entries" -key "backend-$name"
done
echo "started $(wc -l <"run/$name/pids") processes of $name"

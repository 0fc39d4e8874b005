#!/usr/bin/env bash
# Starts the railhalt sample on this machine, runs the main use cases on the files in
# examples/, prints the results, and stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
say() { printf '\n\033[1m%s\033[0m\n' "$*"; }
helper() { run/bin/demohelper "$@"; }
header() { grep -i "^$1:" run/headers | tr -d '\r' | sed 's/^/  /'; }

rm -rf run/railhalt
trap 'deploy/down.sh railhalt' EXIT
say '1. Start: 9 entry hosts, 3 control hosts, 15 stand-in backend servers'
deploy/up.sh railhalt
go build -o run/bin ./deploy/demohelper
export SESAME_KEY=operator-railhalt
export SESAME_CONTROL=http://127.20.1.1:8081,http://127.20.2.1:8081,http://127.20.3.1:8081
ctl() { run/bin/sesamectl "$@"; }
until ctl apply -f deploy/railhalt/record.toml -reason 'first record' 2>/dev/null; do sleep 0.2; done
ready() { curl -sf -o /dev/null "http://$1:8080/readyz"; }
for r in 1 2 3; do for n in 1 2 3; do until ready "127.20.$r.$n"; do sleep 0.1; done; done; done
# The ledger runs no request whose idempotency key was issued before the birth time of the
# ledger's generation, which is set to its formation time plus the bound on clock skew (5 s).
sleep 6

say '2. A chat answer as a stream: a dealer of africa-south enters in mauritius-east'
helper body parts-chat examples/layout-list.txt |
  curl -sN -D run/headers -H 'Authorization: Bearer team-dealers' http://127.20.1.2:8080/v1/chat/completions -d @- | helper text
for h in Sesame-Request-Id Sesame-Entry-Host Sesame-Region Sesame-Server; do header $h; done

say '3. The same through the last servers of a region: its engines leave, the answer comes from another region'
leaving=$(grep -v '^#' deploy/railhalt/backends.txt | awk '$1 ~ /^za-lm/ {print $1}')
for s in $leaving; do
  kill "$(awk -v s="$s" '$2 == s {print $1}' run/railhalt/pids)"
done
sleep 3
helper body parts-chat examples/layout-list.txt |
  curl -sN -D run/headers -H 'Authorization: Bearer team-dealers' http://127.20.3.1:8080/v1/chat/completions -d @- | helper text
for h in Sesame-Request-Id Sesame-Entry-Host Sesame-Region Sesame-Server; do header $h; done
away=$(header Sesame-Request-Id | awk '{print $2}')

say '4. A plain service call'
curl -s -H 'Authorization: Bearer team-counter' http://127.20.2.1:8080/v1/services/storefront/stock/21340 | sed 's/^/  /'

say '5. An order sent twice with one key, to two entry hosts: it runs once'
issued=$(date +%s%3N)
for n in 1 2; do
  curl -s -H 'Authorization: Bearer team-counter' -H 'Idempotency-Key: crate-7731' -H "Sesame-Key-Issued-Ms: $issued" \
    "http://127.20.2.$n:8080/v1/services/storefront/orders" -d '{"reference":"crate-7731"}' | sed "s/^/  eu$n: /"
done
printf '  executions counted by the storefronts: '
for r in 1 2 3; do curl -s "http://127.20.$r.201:9000/admin/executions"; done | tr -d '\n'; echo

say '6. A configuration change, in force on every entry host'
sed 's/preset = "railhalt"/preset = "balanced"/' deploy/railhalt/record.toml >run/changed.toml
ctl diff run/changed.toml | sed 's/^/  /'
ctl apply -f run/changed.toml -reason 'try the balanced preset' | sed 's/^/  /'
for r in 1 2 3; do for n in 1 2 3; do
  until curl -s "http://127.20.$r.$n:9090/debug/vars" | grep -q '"config_version":2'; do sleep 0.05; done
done; done
echo '  version 2 is in force on all 9 entry hosts'
ctl history | sed 's/^/  /'

say '7. The spans of the forwarded answer, hop by hop'
sleep 6 # spans are exported in batches
cat run/railhalt/*.trace | helper spans "$away"
say '8. Why the request went there'
ctl explain -host http://127.20.3.1:9090 "$away" | sed 's/^/  /'
say 'Done.'

#!/usr/bin/env bash
# Runs the measurements behind docs/MEASUREMENTS.md and docs/CAPACITY.md, some
# ten minutes, and writes what they print into the directory given, one file
# each. Benchmarks repeat, so that benchstat can compare two directories.
#
# With the path of the users' bench and the folder of their deployments it also
# scores the large deployment, both grown ones and Qarasu's two, quick, one at a
# time, some twenty minutes more.
set -euo pipefail
cd "$(dirname "$0")"
out=${1:?usage: measure.sh DIRECTORY [BENCH DEPLOYMENTS]}
mkdir -p "$out"

run() {
  local name=$1
  shift
  echo "$name: $*"
  "$@" > "$out/$name.txt" 2>&1 || echo "$name failed, see $out/$name.txt"
}

run policy go test ./core/pipeline -run TestTable -table -v
run affinity go test ./core/balance -run Affinity -v
run decisions go test ./core/admit ./core/balance ./core/once ./core/declare -run xx -bench . -count 5
run size go test ./core/backlog ./core/gather ./core/engine ./core/member ./core/delta -run xx -bench . -count 5
run proxy go test ./node -run xx -bench 'OneStage|Streams' -count 5
run takeover go test ./demo -run TestTakeover -takeover -v

go build -o "$out/chervilpath" .
"$out/chervilpath" trace --scenario storeDown --duration 30s --rate 80 --seed 2 > "$out/storeDown.jsonl"
run outage "$out/chervilpath" replay --embedded kgotso --plot "$out/outage.svg" "$out/storeDown.jsonl"
run chaos "$out/chervilpath" demo --chaos --deployment kgotso --duration 60s --rate 40 --seed 1

go test -c -o "$out/node.test" ./node
for n in 8 32; do
  run "fleet$n" "$out/node.test" -test.run TestFleetControl -fleet "$n" -measure 20s -test.v
done

if [ $# -ge 3 ]; then
  for site in large/kgotso-patchline-large further/qarasu-returns further-grown/qarasu-returns-grown \
    grown/kgotso-patchline-grown grown/darbgalds-riga-grown; do
    run "score-$(basename "$site")" "$2" score "$3/$site.toml" --quick --jobs 2 --why "regression by measure.sh"
  done
fi

#!/usr/bin/env bash
# Plays one day of a deployment on a bench and summarizes its logs and its report:
#   scripts/replay-day.sh BENCH SITE DAY WHY [OPTION...]
# BENCH is the bench program, SITE a site file, DAY a day of it or a file. Further
# options go to the bench. Logs, the report and plots are written to out/DAY.
set -euo pipefail
if [ $# -lt 4 ]; then
  echo "usage: scripts/replay-day.sh BENCH SITE DAY WHY [OPTION...]" >&2
  exit 2
fi
bench=$1 site=$2 day=$3 why=$4
shift 4
if [ ! -x "$bench" ]; then
  echo "there is no program $bench: name the bench program" >&2
  exit 2
fi
if [ ! -f "$site" ]; then
  echo "there is no site file $site: name the TOML file of a deployment" >&2
  exit 2
fi
cd "$(dirname "$0")/.."
out=out/$(basename "$day" .toml)
mkdir -p "$out"
go build -o bin/ ./cmd/cactusspoke-lab
"$bench" run "$site" "$day" --log all --report "$out/report.json" --why "$why" "$@" >"$out/log.txt" 2>&1
bin/cactusspoke-lab day --log "$out/log.txt" --report "$out/report.json" --plots "$out" | tee "$out/summary.txt"

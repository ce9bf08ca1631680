#!/usr/bin/env bash
# Plays the days in this folder (fault scenarios) on a site and prints a table with one
# line a day: its name, the share of requests served and the rules that it broke.
#
#   deploy/days/play.sh BENCH SITE [PATTERN]
#
# BENCH is the users' bench program, SITE a site file, and PATTERN a shell pattern of the
# names of the days to play. JOBS days (default 4) run concurrently, each with the seed
# SEED if that is set. Days refer to classes, services and zones by index (@c0, @s0, @z0),
# so that they work on every site.
set -euo pipefail
bench=$(realpath "$1")
site=$(realpath "$2")
pattern=${3:-*}
cd "$(dirname "$0")/../.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
mkdir "$out/log"
"$bench" build >/dev/null
play() {
  local name
  name=$(basename "$1" .toml)
  "$bench" run "$site" "$1" ${SEED:+--seed "$SEED"} --jobs 1 --why "a day of one kind of trouble: $name" >"$out/log/$name" 2>&1 || true
  awk -v name="$name" '$1 == name || index($0, name " ") == 1 {
    broken = "-"; i = index($0, "BROKEN: "); if (i) broken = substr($0, i + 8)
    printf "%-52s %s  %s\n", name, $5, broken; found = 1 }
    END { if (!found) printf "%-52s not played\n", name }' "$out/log/$name"
}
export -f play
export bench site out
ls deploy/days/$pattern.toml | xargs -P "${JOBS:-4}" -I{} bash -c 'play {}' | sort

#!/usr/bin/env bash
# Plays every day of this folder on a site and prints a table of what came of
# each: its name, the share of requests served, and the rules that broke.
#
#   deploy/days/play.sh BENCH SITE [PATTERN]
#
# BENCH is the users' bench program, SITE a site file. JOBS days are played at a
# time (4 unless set), each with the seed SEED where that is set. Days name classes,
# services and zones by their place (@c0, @s0, @z0), so that they fit every site.
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

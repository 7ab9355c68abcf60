#!/bin/sh
# Plays all days of this folder on one site: BENCH, SITE from the environment.
set -eu
for day in "$(dirname "$0")"/*.toml; do
  "$BENCH" run "$SITE" "$day" --why "own day $(basename "$day" .toml)" |
    grep -A1 "^day" | tail -n 1
done

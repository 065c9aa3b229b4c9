#!/usr/bin/env bash
# Replaces hosts of one build by hosts of another under load and faults, both built from history.
# Usage: deploy/rolling.sh EARLIER LATER FIRST_SEED RUNS
set -euo pipefail
[ $# -eq 4 ] || { sed -n '2,3p' "$0"; exit 2; }
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'for build in earlier later; do git worktree remove --force "$dir/$build" 2>/dev/null || true; done; rm -rf "$dir"' EXIT
build() { # NAME COMMIT
  git worktree add --quiet --detach "$dir/$1" "$2"
  (cd "$dir/$1" && go build -ldflags=-linkmode=external -o "$dir/bin/$1" ./cmd/cowslipgw)
}
build earlier "$1"
build later "$2"
"$dir/bin/later" soak -earlier "$dir/bin/earlier" -seed "$3" -runs "$4"

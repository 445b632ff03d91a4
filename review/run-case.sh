#!/bin/bash
# run-case.sh FOLDER CASE: plays a case with its record in FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run. With TROUBLE=0 it does the same without the disruption.
set -u
here=$1 case=$2
root=$(cd "$(dirname "$0")/.." && pwd)
standin=$root/review/bin/standin
if [ ! -x "$standin" ] || [ ! -x "$root/bin/weirhaven-gateway" ]; then
  echo "first: the build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
work=$(mktemp -d)
finish() { # ends what an interrupted run has left, by its id
  if [ -f "$work/pids" ]; then
    while read -r pid; do
      if [ -r "/proc/$pid/cmdline" ] && grep -aq weirhaven- "/proc/$pid/cmdline"; then kill -9 "$pid"; fi
    done <"$work/pids"
  fi
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
TROUBLE=${TROUBLE:-1} timeout -k 2 115 "$standin" -root "$root" -folder "$work" -record "$here/record.txt" "$case"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"

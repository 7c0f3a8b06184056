#!/usr/bin/env bash
# A pipeline of 32 steps, each of which names all steps before it, among steady small jobs on three hickory-cell
# processes. TROUBLE=0: each step names only the one before. Exit status: 0 LOST held, 1 it was broken, 2 not run.
set -u
cd "$(dirname "$0")/../.."
for program in target/bin/hickory-cell target/rig-2/bin/driver target/rig-2/bin/platform-emulator; do
  [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
folder=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} target/rig-2/bin/driver pipeline "$folder"
status=$?
cp "$folder/record.txt" review/6/record.txt
rm -rf "$folder"
exit $status

#!/usr/bin/env bash
# A scheduled job of 10,000 occurrences, all of which are due, among steady small jobs of two steps on three hickory-cell
# processes. TROUBLE=0: 20 of the occurrences are due. Exit status: 0 LOST held, 1 it was broken, 2 not run.
set -u
cd "$(dirname "$0")/../.."
for program in target/bin/hickory-cell target/rig-2/bin/driver target/rig-2/bin/platform-emulator; do
  [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
folder=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} target/rig-2/bin/driver schedule "$folder"
status=$?
{
  cat "$folder/record.txt"
  echo "what the executors have run, and the platform's troubles:"
  cat "$folder/workers.jsonl"
} >review/7/record.txt 2>/dev/null
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit $status

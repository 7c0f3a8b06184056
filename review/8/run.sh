#!/usr/bin/env bash
# A lasting task of 18 cores is at work on one of 8 executors; a gang of 8 tasks of 17 cores waits for it, among steady small
# jobs of the same queue, on three hickory-cell processes. TROUBLE=0: a gang of 7. Exit: 0 LOST held, 1 broken, 2 not run.
set -u
cd "$(dirname "$0")/../.."
for program in target/bin/hickory-cell target/rig-2/bin/driver target/rig-2/bin/platform-emulator; do
  [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
folder=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} target/rig-2/bin/driver beside-service "$folder"
status=$?
{
  cat "$folder/record.txt"
  echo "what the executors have run, and the platform's troubles:"
  cat "$folder/workers.jsonl"
} >review/8/record.txt 2>/dev/null
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit $status

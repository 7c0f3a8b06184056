#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy file: target/review/review-rig.
set -euo pipefail
cd "$(dirname "$0")/.."
library=$(find target -name libhickorypick.a | head -n 1)
[ -n "$library" ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
mkdir -p target/review
g++ -std=c++20 -O1 -w -DASIO_STANDALONE -DASIO_HAS_CO_AWAIT -DASIO_HAS_STD_COROUTINE -ISource -ITests -Ireview/rig \
  review/rig/Cases.cpp review/rig/Rig.cpp Tests/Emulator/EmulatedStore.cpp "$library" \
  -lcurl -lcrypto -lssl -lfmt -lglog -lhttp_parser -lpthread -o target/review/review-rig

#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/rig-2/bin. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/rig-2 -B target/rig-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/rig-2 -j6

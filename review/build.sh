#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into build-review/. The node comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PROJECT_snipevalve_INCLUDE="$PWD/review/standins.cmake" >/dev/null
cmake --build build-review --target review-standins

#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, from the repository's root, into build-review-2/.
# It needs no package beyond those in deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-2 --target review-2

#!/usr/bin/env bash
# Installs what is needed, builds, and runs the main job on both deployments.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${KCR_BUILD_DIR:-build}
scripts/install_packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build"
exec "$build/bin/kcr_demo" --binaries "$build/bin" --work "$build/demo"

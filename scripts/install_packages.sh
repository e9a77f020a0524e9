#!/usr/bin/env bash
# Installs the compilers, tools and libraries that the build and tests need.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy pkg-config git
    libcpp-httplib-dev libnghttp2-dev nlohmann-json3-dev libvalijson-dev
    prometheus-cpp-dev liblog4cplus-dev libtclap-dev libboost-dev
    libxxhash-dev librapidcheck-dev libgtest-dev libgmock-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" \
        >/dev/null
fi

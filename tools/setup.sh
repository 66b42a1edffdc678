#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing
# when all of them are installed.
set -euo pipefail

packages=(
  ccache clang clang-format clang-tidy cmake curl g++ make ninja-build valgrind
  python3 catch2 flatbuffers-compiler libabsl-dev libboost-dev
  libclang-rt-14-dev libexpected-dev
  libflatbuffers-dev libh2o-evloop-dev librapidcheck-dev libspdlog-dev
  libssl-dev libxxhash-dev libyaml-cpp-dev nlohmann-json3-dev zlib1g-dev
)

missing=()
for package in "${packages[@]}"; do
  state=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
  [ "$state" = installed ] || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
  "${missing[@]}"

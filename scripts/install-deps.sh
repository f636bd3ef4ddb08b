#!/usr/bin/env bash
# Installs the compiler, the tools and the libraries that the build and the scripts need.
set -eu
PACKAGES="libboost1.81-dev libboost-log1.81-dev libboost-thread1.81-dev libboost-json1.81-dev
  libwebsocketpp-dev prometheus-cpp-dev libdocopt-dev libcppunit-dev librapidcheck-dev
  nlohmann-json3-dev libxxhash-dev libssl-dev libpcg-cpp-dev ccache ninja-build pkg-config
  g++ cmake clang-format clang-tidy jq curl python3"
if dpkg -s $PACKAGES >/dev/null 2>&1; then exit 0; fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $PACKAGES >/dev/null

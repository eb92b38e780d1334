#!/usr/bin/env bash
# Builds the stand-ins (store, minions, clients) that the scripts start. No dependencies.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
rustc --edition 2021 -O -o target/standin standin/main.rs

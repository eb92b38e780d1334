#!/bin/sh
# Builds the stand-ins of the scripts review/N/run.sh (N = 11 to 15). It needs rustc only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin review/standin-3/main.rs

#!/bin/sh
# Builds the stand-in of the second review's scripts, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cell review/standin-2/main.rs

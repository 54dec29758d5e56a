#!/bin/sh
# Builds the stand-ins of the second review's scripts. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/scene review/standin-2/main.rs

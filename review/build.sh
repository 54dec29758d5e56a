#!/bin/sh
# Builds the stand-ins of the scripts under review/. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs

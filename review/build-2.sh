#!/bin/sh
# Builds what the scripts of review/4 and later start beside the programs of the deploy file. Needs rustc alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/standins-2 review/standins-2/main.rs

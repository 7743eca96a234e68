#!/bin/sh
# Builds the stand-ins that the scripts of review/ start. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/replaced-core review/standins/replaced_core.rs
rustc --edition 2024 -O -D warnings -o target/review/lost-zone review/standins/lost_zone.rs

#!/bin/bash
# Builds the stand-ins that the scripts of review/4 to review/8 start.
set -e
cd "$(dirname "$0")/.."
cargo build --release -p dillmill-standins
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/harness review/harness-2.rs

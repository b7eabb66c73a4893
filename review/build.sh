#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases: one program of the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/drill review/kit/main.rs

#!/usr/bin/env bash
# Builds the stand-ins and cases of this review. Needs only rustc.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O review/kit-3/main.rs -o target/review-3/kit

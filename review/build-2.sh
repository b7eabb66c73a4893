#!/bin/bash
# Builds the stand-ins and clients of review/6 to review/10: plain Rust without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/kit-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = stand ] && continue
    rustc --edition 2024 -O -A warnings -o "target/review-2/$name" "$source"
done

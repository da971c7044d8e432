#!/usr/bin/env bash
# Builds the cases of the second review (review/6 to review/10), each with its stand-ins, into target/review-2. Needs rustc alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    [ -f "review/$number/play.rs" ] || continue
    rustc --edition 2024 -O -o "target/review-2/$number" "review/$number/play.rs"
done

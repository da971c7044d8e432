#!/usr/bin/env bash
# Builds the cases' programs, with their stand-ins, into target/review. Needs rustc alone, and no crate.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review/case-$number" "$case"
done

#!/usr/bin/env bash
# Plays a run of the soak that has broken a rule (KNOWN-RED.txt). No test runs it; exit code 1 if a rule is broken.
cd "$(dirname "$0")/../.." || exit 2
exec target/release/soak --seed 17 --runs ${RUNS:-1} --seconds 8 --hot-restarts true

#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/. Needs the packages of the deploy file, no network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
out=../../target/review-2
mkdir -p "$out"
compile() { g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$1.cpp" -o "$out/$1.o"; }
shared=(Lab Deployment)
cases=(Smuggled Crowd Names Poison Stall)
for name in "${shared[@]}" "${cases[@]}"; do compile "$name" & done
for job in $(jobs -p); do wait "$job"; done
objects=("${shared[@]/#/$out/}")
for name in "${cases[@]}"; do g++ -pthread "$out/$name.o" "${objects[@]/%/.o}" -o "$out/$name"; done

#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 11 to 15. Run it after the build of the deploy
# file: the cases start target/daemon/cuminmoord.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/cases review/cases-3/*.cpp

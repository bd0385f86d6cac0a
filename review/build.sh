#!/bin/sh
# Builds the stand-ins, and the program that runs the scenarios with them, into target/.
set -eu
cd "$(dirname "$0")/.."
exec go build -tags review -o target/review-lab ./review/lab

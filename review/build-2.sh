#!/bin/sh
# Builds the stand-ins of the cases 6 and up. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin-2 ./review/_standin-2

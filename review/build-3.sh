#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-3 ./review/_standin-3

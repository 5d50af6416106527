#!/bin/bash
# Builds the stand-ins and the clients of the scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-drive ./review/testdata/drive

#!/bin/bash
# Builds what the scripts of review/6 and later start besides the product: one program that holds
# the stand-ins of the store, of servers and of clients. It runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-drive2 ./review/6/testdata/drive2

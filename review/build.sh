#!/bin/sh
# Builds the stand-ins of the cases into review/bin/.
set -e
cd "$(dirname "$0")/.."
go test -tags review -c -o review/bin/lab ./review/lab

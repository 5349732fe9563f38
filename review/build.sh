#!/bin/sh
# Builds the stand-ins of the scripted cases into bin/.
set -eu
cd "$(dirname "$0")/.."
GOWORK=off GO111MODULE=off go build -o bin/review-lab review/lab/*.go

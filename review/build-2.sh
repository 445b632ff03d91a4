#!/bin/sh
# Builds the stand-ins of the second review (cases 6 to 10) into review/bin/. Run it from anywhere, after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin2 ./review/standin2

#!/bin/bash
# Builds the stand-ins of all cases, after the build of deploy/balancer.toml. Needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/standin

#!/bin/sh
# Builds the stand-ins that the scripts start. Needs no network: the package has no dependencies.
set -eu
cd "$(dirname "$0")/standin"
exec cargo build --release --locked --offline

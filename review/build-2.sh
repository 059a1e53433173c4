#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases 6 to 10, without a network. The program under review comes from the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2

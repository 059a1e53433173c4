#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3

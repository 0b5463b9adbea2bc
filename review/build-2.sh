#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review

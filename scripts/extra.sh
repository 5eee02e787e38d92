#!/usr/bin/env bash
# Generates the shell completions, the man page, the configuration reference and the JSON Schema.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --workspace
for tool in agatectl agaterouted agatestand; do
    "target/debug/$tool" --bpaf-complete-style-bash >"extra/$tool.bash"
    "target/debug/$tool" --bpaf-complete-style-zsh >"extra/_$tool"
    "target/debug/$tool" --bpaf-complete-style-fish >"extra/$tool.fish"
done
target/debug/agatectl man >extra/agatectl.1
target/debug/agatectl config reference >docs/CONFIGURATION.md
target/debug/agatectl config schema >extra/document.schema.json

#!/usr/bin/env bash
cd "$(dirname "$0")" && exec node main.mjs

#!/usr/bin/env bash
# Fails if a name of the platform's protocol occurs in Go code outside platform/
# and tests: these names are decoded only in package platform.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Expect-Instance|X-Token-Usage|X-Prompt-Prefix|X-Response-Signature|X-Not-Executed|X-Deadline-Ms|X-Length-Hint'
names+='|X-Tenant|Api-Key|X-Request-Priority|X-Warmup-Ms|X-Instance-Id|X-Kv-Backup|X-Pin-Ms|X-Hold|Kv-From|Kv-Fetch|Last-Event-Id'
names+='|kv-watch|kv-range|kv-key|kv-events|kv-list|kv-move|hold-take|warmup_left_ms|home_regions|max_attempts|api_keys'
names+='|traffic_split|target_latency_ms|gap_aim_ms|plain_tokens|rate_per_s|remaining_ms"|as_of|more_pages|tombstone|allow_stale'
names+='|port_range|drain_ms|grace_s|config_apply_ms|budget_ratio|warmup_overage|WIGEONHILL_SETTINGS'
if found=$(git grep -nE "$names" -- '*.go' ':!platform/' ':!*_test.go'); then
  echo "names of the platform outside platform/:"
  echo "$found"
  exit 1
fi

#!/usr/bin/env bash
# Fails when a source outside platform/ and its tests uses a name of the users'
# platform. Only the adapter may use these names.
set -euo pipefail
cd "$(dirname "$0")/.."

names='kv-(key|range|watch)|X-Part-Seals|X-Missing-Parts|X-Response-Seal'
names+='|X-Target-Instance|X-Not-Executed|X-Server-Load|GALENAFLOW_BOOT'
names+='|traffic_split|min_shard_ratio|route_type|target_latency_ms'
names+='|cold_left_ms|store_revision|allowed_regions|op/config|servers/|fanout"|top_k"'

if grep -rnIE "$names" src bench tools --include='*.cc' --include='*.h' \
  --include='*.py' --include='*.fbs' --include='*.def'; then
  echo 'names of the platform outside platform/' >&2
  exit 1
fi
echo 'no name of the platform outside platform/'

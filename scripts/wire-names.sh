#!/usr/bin/env bash
# Fails if a wire name of the platform is used in code outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='x-request-deadline|x-expected-instance|x-expected-version|x-token-usage|x-prompt-prefix|x-length-hint'
names+='|x-not-executed|x-server-load|x-tenant|x-instance-id|x-response-signature|x-hold|x-pin-duration'
names+='|x-kv-cache-backup|kv-from|kv-fetch|kv-move|kv-handle|kv-events|kv-list|/v1/report|/v1/readiness'
names+='|store-era|rows-tx|rows-get|rows-feed|rows-parts|blob-put|blob-get|"op"|"servers"\)'
names+='|server-limit|server-leaving|server-brittle'
names+='|AGATEROUTE_NODE_FILE|KvCacheTokens|KvTokenBytes|RecordVersion|ExpectedRevision|HasMore'
names+='|EvacuationMs|ColdStartS|ColdPerS|ColdOvershoot|ColdSlack'
names+='|TrafficSplit|TargetLatencyMs|ResumeStreams|ApiKeys|InternalPorts|ListenAddresses|RevokeMs'
found=$(git ls-files '*.rs' '*.proto' | grep -v '^platform/' | xargs grep -nE "$names" || true)
if [ -n "$found" ]; then
    echo "names of the platform's wire outside platform/:" >&2
    echo "$found" >&2
    exit 1
fi

#!/usr/bin/env bash
# Checks that the decision modules do not use sockets, threads, clocks or serialization, and that includes follow the order of
# the modules.
set -euo pipefail
cd "$(dirname "$0")/.."
modules="Core Ownership Sessions Admission Configuration Membership Workspaces Routing Proxy"
forbidden='#include *[<"](asio|google/|boost/(asio|thread|lockfree)|thread>|mutex>|condition_variable>|atomic>|semaphore>|future>|sys/|unistd|jsonrpccpp|json/|log4cxx|prometheus|sqlite3|mustardrouter/(Schema|Runtime|Network|Platform|Instance|Operators|StandIn|Load))|(system|steady|high_resolution)_clock|std::random_device|[^a-zA-Z_]time\('
bad=0
for module in $modules; do
    if grep -nE "$forbidden" "mustardrouter/$module"/*; then
        echo "core check: mustardrouter/$module uses something that decision modules may not" >&2
        bad=1
    fi
done
# A module may include only modules that precede it in this order.
order="Core Schema Ownership Sessions Admission Configuration Membership Workspaces Routing Proxy Runtime Network Platform Instance StandIn Load Edge PlatformStandIn Soak Operators"
seen=""
for module in $order; do
    seen="$seen|$module"
    below=$(grep -hoE '#include "mustardrouter/[A-Za-z]+/' "mustardrouter/$module"/*.h "mustardrouter/$module"/*.cpp 2>/dev/null | sed 's|.*mustardrouter/||; s|/||' | sort -u | grep -vE "^(${seen#|})$" || true)
    if [ -n "$below" ]; then
        echo "core check: mustardrouter/$module includes a later module: $below" >&2
        bad=1
    fi
done
# Names of the users' platform are confined to platform/: only Edge, the command that starts it, the platform stand-in and
# the soak test, which simulates clients, may use that adapter.
if grep -lE '#include "platform/' mustardrouter/*/* | grep -vE '^mustardrouter/(Edge/|PlatformStandIn/|Soak/|Operators/edge_command.cpp)'; then
    echo "core check: only Edge and the stand-ins may use platform/" >&2
    bad=1
fi
if grep -nE 'Fencing-Token|Duty-Holder|warmup_left_ms|db_role|allow_stale|marked_for_deletion|max_staleness_ms|tx_idle_ms|MISROUTED|STEPDOWN|DATAROW|sync_replicas|max_conns|node_name|bind_addrs' mustardrouter/{Proxy,Edge,Operators,Runtime,Network,Soak}/*; then
    echo "core check: a name of the users' platform outside of platform/" >&2
    bad=1
fi
if nm -C --undefined-only build/libmustardrouter_core.a 2>/dev/null | grep -E ' (asio::|google::protobuf|pthread_create|std::thread::|std::chrono::_V2::)' ; then
    echo "core check: the decision library links to something that it may not" >&2
    bad=1
fi
[ "$bad" = 0 ] && echo "core check: clean"
exit "$bad"

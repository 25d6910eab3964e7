#!/usr/bin/env bash
# A server crashes behind a cut link while it answers, and starts again under its id. Exits 1 if a client took the
# torn answer for a whole one, 0 if none did, 2 if the case could not run. TROUBLE=0 leaves the cut and the crash out.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
trouble="${TROUBLE:-1}"
standin=target/review/standin
entry=target/platform/swiftloft-platform-entry
record="$here/record.txt"
: > "$record"
[ -x "$standin" ] && [ -x "$entry" ] || { echo "build first: the deploy file's build line, then review/build.sh" | tee -a "$record"; exit 2; }
folder="$(mktemp -d)"
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$folder"
}
trap finish EXIT
note() { echo "$(date +%s%3N) $*" >> "$record"; }
isFree() { ! (exec 3<> "/dev/tcp/$1/$2") 2>/dev/null; }

fronts=(127.0.31.1 127.0.32.1 127.0.33.1)
zones=(klang-a klang-b klang-c)
platform=127.0.30.1
base=0
for attempt in $(seq 50); do
    base=$((20000 + RANDOM % 10000))
    free=1
    for ip in "${fronts[@]}" "$platform"; do
        for n in $(seq 0 30); do isFree "$ip" $((base + n)) || free=0; done
    done
    [ "$free" = 1 ] && break
done
[ "$free" = 1 ] || exit 2
store="$platform:$base"
"$standin" store --address "$store" & pids+=($!)

# Six servers of each of two services, each behind a link of its own, so that one is a sixth of its service.
declare -A serverPid linkPid
startServer() { # NAME NUMBER ZONE
    local service=counter
    [[ $1 == m* ]] && service=model
    "$standin" server --id "i-$1" --service "$service" --zone "$3" --store "$store" --listen "$platform:$((base + 1 + $2))" \
        --address "$platform:$((base + 15 + $2))" --journal "$record" --slots 6 & serverPid[$1]=$!
    pids+=($!)
}
n=0
for name in c0 c1 c2 c3 c4 c5 m0 m1 m2 m3 m4 m5; do
    "$standin" link --address "$platform:$((base + 15 + n))" --to "$platform:$((base + 1 + n))" & linkPid[$name]=$!
    pids+=($!)
    numbers[n]=$name
    n=$((n + 1))
done
put() { # KEY FILE
    exec 3<> "/dev/tcp/$platform/$base" || return 1
    { printf 'PUT /standin?key=%s HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\nConnection: close\r\n\r\n' "$1" "$(wc -c < "$2")"; cat "$2"; } >&3
    head -n 1 <&3 > /dev/null
    exec 3>&-
}
cat > "$folder/config.json" << CONFIG
{"version":7,"routes":[
{"name":"r-once","host":"desk.example","prefix":"/once/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"counter","maxAttempts":1,"public":false,"sticky":false},
{"name":"r-stream","host":"desk.example","prefix":"/stream/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"model","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":120}],
"services":[{"name":"counter","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false},{"name":"model","healthPath":"/health","maxConnections":408,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":20000},
"tenants":[{"name":"shop","apiKeys":["key-of-the-shop"]}]}
CONFIG
for attempt in $(seq 50); do put op/config "$folder/config.json" 2>/dev/null && break; sleep 0.1; done
n=0
for name in c0 c1 c2 c3 c4 c5 m0 m1 m2 m3 m4 m5; do startServer "$name" "$n" "${zones[n % 3]}"; n=$((n + 1)); done

seeds="${fronts[0]}:$((base + 3)),${fronts[1]}:$((base + 3)),${fronts[2]}:$((base + 3))"
for n in 0 1 2; do
    ip="${fronts[n]}"
    cat > "$folder/entry-$n.ini" << SETTINGS
[entry]
id = front-${zones[n]}-1
data-centre = ${zones[n]}
region.klang-a = klang
region.klang-b = klang
region.klang-c = klang
clients = $ip:$((base + 0))
ready = $ip:$((base + 1))
directory = $ip:$((base + 2))
peers = $ip:$((base + 3))
load = $ip:$((base + 4))
agent-port = $((base + 4))
seeds = $seeds
store = $store
retry-ratio = 0.2
retry-slack = 88
retry-window-seconds = 10
apply-within-ms = 2000
stop-within-seconds = 8
directory-kept-seconds = 1
least-entries = 9
metrics = $ip:$((base + 5))
SETTINGS
    SWIFTLOFT_CONFIG="$folder/entry-$n.ini" "$entry" > "$folder/entry-$n.log" 2>&1 & pids+=($!)
done
ready=0
for attempt in $(seq 100); do
    ready=0
    for ip in "${fronts[@]}"; do
        line=$( (exec 3<> "/dev/tcp/$ip/$((base + 1))" && printf 'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n' >&3 && head -n 1 <&3) 2>/dev/null)
        [[ $line == *200* ]] && ready=$((ready + 1))
    done
    [ "$ready" = 3 ] && break
    sleep 0.1
done
[ "$ready" = 3 ] || { note "the entries did not become ready"; cat "$folder"/entry-*.log >> "$record"; exit 2; }
sleep 1

# One request; if there is trouble, its server is cut off from all machines, crashes behind the cut and starts again.
broken=0
exchange() { # ID PATH PIECE DEADLINE_MS DOWN_S: the piece after which the link is cut, the time until the restart
    local id="$1" victim="" n=0
    "$standin" client --entry "${fronts[RANDOM % 3]}:$base" --host desk.example --key key-of-the-shop --path "$2" --id "$id" --deadline "$4" --journal "$record" & local request=$!
    if [ "$trouble" != 0 ]; then
        for attempt in $(seq 400); do
            victim=$(sed -n "s/.* server=i-\([a-z0-9]*\) sent id=$id piece=$3\/.*/\1/p" "$record" | head -n 1)
            [ -n "$victim" ] && break
            sleep 0.01
        done
        [ -n "$victim" ] || { note "no server ran $id"; return 2; }
        note "cut server=i-$victim"
        kill -USR1 "${linkPid[$victim]}"
        sleep 0.05
        note "kill server=i-$victim"
        kill -KILL "${serverPid[$victim]}"
        wait "${serverPid[$victim]}" 2>/dev/null
        sleep "$5"
        for n in "${!numbers[@]}"; do [ "${numbers[n]}" = "$victim" ] && startServer "$victim" "$n" "${zones[n % 3]}"; done
        kill -USR2 "${linkPid[$victim]}"
        note "start and heal server=i-$victim"
    fi
    wait "$request" || broken=1
    sleep 1
}
for k in 1 2 3; do
    exchange "once-$k-$RANDOM" /once/reserve 4 4000 1.5
    exchange "stream-$k-$RANDOM" /stream/report 8 8000 0.4
done
served=$(grep -c 'verdict=served' "$record")
note "requests 6, served $served, broken $(grep -c 'verdict=BROKEN' "$record")"
if [ "$broken" = 1 ]; then note "MIXED is broken"; exit 1; fi
[ "$served" = 0 ] && { note "nothing was served"; [ "$trouble" = 0 ] && exit 2; }
[ "$trouble" = 0 ] && [ "$served" != 6 ] && exit 2
note "the rule held"
exit 0

#!/usr/bin/env bash
# Measures what an entry adds to a direct call, and what a claim costs, on six
# daemons as separate processes over loopback. Prints figures, asserts nothing.
set -eu
cd "$(dirname "$0")/.."
bin=$PWD/bin
work=$(mktemp -d)
pids=()
stop_all() {
	for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	rm -rf "$work"
}
trap stop_all EXIT

cp examples/enigmes-boreales/entry-*.ini "$work/"
cd "$work"
sed -i 's/127\.0\.1\./127.0.9./g' entry-*.ini
ip() { echo "127.0.9.$1"; }
ask=()
for i in 1 2 3 4 5 6; do ask+=(--entry "$(ip $i):8080"); done
export APRICOTSTREAM_ENTRY=$(ip 1):8080 APRICOTSTREAM_KEY_FILE=$work/operator.key
voters=(--voter "entry-1=$(ip 1):7070@qc-est-a" --voter "entry-2=$(ip 2):7070@qc-est-b" --voter "entry-3=$(ip 3):7070@qc-est-c")
for i in 1 2 3; do "$bin/apricotstream" init --config entry-$i.ini --operator-key-file operator.key "${voters[@]}" >/dev/null; done
for i in 1 2 3 4 5 6; do
	"$bin/apricotstream" serve --config entry-$i.ini >"entry-$i.log" 2>&1 &
	pids+=($!)
done
entry4=${pids[3]}
until [ "$("$bin/apricotstream" entries 2>/dev/null | wc -l)" -eq 6 ]; do sleep 0.1; done
"$bin/apricotstream" account create bench
"$bin/apricotstream" key create --account bench --out bench.key >/dev/null
printf '[service]\nname = bench\nkind = plain\nowner = bench\n\n[route:repeat]\npath = /repeat\nidempotent = true\n\n[route:once]\npath = /once\n' >bench.ini
"$bin/apricotstream" service put bench.ini
"$bin/standin" plain --id bench --service bench --address "$(ip 20):9000" --zone qc-est-a --token 0s --concurrency 256 "${ask[@]}" >plain.log 2>&1 &
pids+=($!)
until "$bin/apricotstream" upstream list | grep -q bench; do sleep 0.1; done
sleep 1
for n in 1 16 64; do
	"$bin/standin" overhead --direct "http://$(ip 20):9000/repeat" --through "http://$(ip 4):8080/services/bench/repeat" \
		--key-file bench.key --requests "${REQUESTS:-10000}" --concurrency $n --pid "$entry4"
done
echo "claims (a quorum commit before and after each request):"
for n in 1 16 64; do
	"$bin/standin" overhead --direct "http://$(ip 20):9000/once" --through "http://$(ip 4):8080/services/bench/once" \
		--once --key-file bench.key --requests "${CLAIMS:-2000}" --concurrency $n
done

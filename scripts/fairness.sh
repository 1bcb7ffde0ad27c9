#!/usr/bin/env bash
# Measures the worst-served client account: six entries, nine hint engines and
# three answer checkers on loopback, eight accounts, two of them large, one small
# one flooding with 20 times its share. Another build of the program can be
# measured by APRICOTSTREAM=path; FLOOD=1 takes the flood away.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
bin=$root/bin
program=${APRICOTSTREAM:-$bin/apricotstream}
flood=${FLOOD:-20}
seconds=${SECONDS_OF_LOAD:-15}
token=${TOKEN:-20ms}
lag=${LAG:-1s}
prefill=${PREFILL:-0s} # time to read a prompt whose prefix is not cached
prefix=${PREFIX:-0}    # words at the start of its prompts that an account's requests share
load=${LOAD:-1}        # times the accounts' fair shares that they ask for
work=$(mktemp -d)
pids=()
stop_all() {
	status=$?
	for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	rm -rf "$work"
	exit "$status"
}
trap stop_all EXIT
start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }

cp "$root"/examples/enigmes-boreales/*.ini "$work/"
cd "$work"
sed -i '/^\[platform\]/,$d' entry-*.ini
sed -i 's/^floor = .*/floor = 0/' hint-model.ini
ask=()
entries=
for i in 1 2 3 4 5 6; do
	ask+=(--entry 127.0.1.$i:8080)
	entries+=${entries:+,}127.0.1.$i:8080
done
export APRICOTSTREAM_ENTRY=$entries APRICOTSTREAM_KEY_FILE=$work/operator.key
voters=(--voter entry-1=127.0.1.1:7070@qc-est-a --voter entry-2=127.0.1.2:7070@qc-est-b --voter entry-3=127.0.1.3:7070@qc-est-c)
for i in 1 2 3; do "$program" init --config entry-$i.ini --operator-key-file operator.key "${voters[@]}" >>log; done
for i in 1 2 3 4 5 6; do start "$program" serve --config entry-$i.ini; done
until [ "$("$program" entries 2>/dev/null | wc -l)" -eq 6 ]; do sleep 0.2; done

small="team-a team-b team-c team-d team-e"
for a in hint-trainer checker-team hunt-montreal hunt-quebec $small flooder; do
	"$program" account create $a >>log
	"$program" key create --account $a --out $a.key >>log
done
"$program" service put hint-model.ini >>log
"$program" service put answer-checker.ini >>log
zones=(--in qc-est-a --in qc-est-b --in qc-est-c)
start "$bin/standin" fleet --id hint --count 9 --service hint-model --address 127.0.1.60:9100 --zone qc-est-a "${zones[@]}" --token "$token" --prefill "$prefill" --load-lag "$lag" "${ask[@]}"
start "$bin/standin" fleet --id checker --count 3 --plain --service answer-checker --address 127.0.1.60:9200 --zone qc-est-a "${zones[@]}" --concurrency 16 --load-lag "$lag" "${ask[@]}"
until [ "$("$program" upstream list 2>/dev/null | wc -l)" -ge 12 ]; do sleep 0.2; done
sleep 1

# Nine engines of 8 slots and 20 tokens of 20 ms give 180 requests a second; the
# weights sum up to 14, so a small account's share is 12.9 and a large one's 51.4.
hint=service=hint-model,tokens=32,prefix=$prefix
rate() { awk "BEGIN { print $1 * $load }"; }
flows=(--flow account=flooder,key-file=flooder.key,rate=$((129 * flood / 10)),$hint)
for a in hunt-montreal hunt-quebec; do flows+=(--flow account=$a,key-file=$a.key,weight=4,rate=$(rate 51.4),$hint); done
for a in $small; do flows+=(--flow account=$a,key-file=$a.key,rate=$(rate 12.9),$hint); done
for a in hunt-montreal team-a; do flows+=(--flow account=$a,key-file=$a.key,rate=10,service=answer-checker,path=/submit); done
"$bin/standin" load --time "${seconds}s" "${flows[@]}" "${ask[@]}" "$@"

#!/bin/sh
# Demonstrates the system on loopback: stand-ins for the platform and the
# upstreams, three daemons, the tables of both deployments, requests, and a
# daemon that is killed while requests run. Exits non-zero if a request was
# lost, was executed more than once or got the output of another request.
set -eu
cd "$(dirname "$0")"
bin=$PWD/bin
dir=$(mktemp -d)
pids=
failures=0

cleanup() {
  for pid in $pids; do kill -9 "$pid" 2>/dev/null || :; done
  rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

fail() {
  echo "FAILED: $*"
  failures=$((failures + 1))
}

# wait_line FILE PATTERN waits until a line of the file matches.
wait_line() {
  tries=0
  until grep -qs "$2" "$1"; do
    tries=$((tries + 1))
    [ "$tries" -lt 100 ] || { echo "no '$2' from:"; cat "$1"; exit 1; }
    sleep 0.1
  done
}

# standin NAME ARGUMENTS... starts a stand-in and sets $addr.
standin() {
  name=$1
  shift
  "$bin/standin" "$@" > "$dir/$name.log" 2>&1 &
  pids="$pids $!"
  wait_line "$dir/$name.log" '^listening '
  addr=$(sed -n 's/^listening //p' "$dir/$name.log")
  printf '  %-12s %s\n' "$name" "$addr"
}

# upstream SERVICE DATA_CENTRE ARGUMENTS... starts an upstream and adds it to $hosts
# and $upstreams.
upstream() {
  service=$1
  dc=$2
  shift 2
  standin "$service-$dc" "$@"
  hosts="$hosts $dc/$service/$addr"
  upstreams="$upstreams $addr"
}

# field FILE KEY prints the first string value of the key in a JSON log.
field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1; }

# daemon NUMBER starts a daemon and appends its addresses to $callers, $operators and
# $seeds.
daemon() {
  cat > "$dir/daemon$1.ini" << EOF
[daemon]
data_centre = dc$1
caller_addr = 127.0.0.1:0
operator_addr = 127.0.0.1:0
peer_addr = 127.0.0.1:0
[peers]
seeds = $seeds
[platform]
log_addr = $log
host_list_addr = $hostlist
host_list_interval = 200ms
EOF
  "$bin/sequoiaforkd" -config "$dir/daemon$1.ini" > "$dir/daemon$1.log" 2>&1 &
  last_daemon=$!
  pids="$pids $last_daemon"
  wait_line "$dir/daemon$1.log" '"serving"'
  caller=$(field "$dir/daemon$1.log" caller_addr)
  callers="$callers${callers:+,}$caller"
  operators="$operators${operators:+,}$(field "$dir/daemon$1.log" operator_addr)"
  seeds="$seeds${seeds:+,}$(field "$dir/daemon$1.log" peer_addr)"
  printf '  %-12s callers %s\n' "daemon$1" "$caller"
}

# edit ARGUMENTS... edits a table row through any of the daemons.
edit() {
  printf '  %s: ' "$*"
  "$bin/sequoiafork" -addr "$operators" "$@" -base 0 2>&1 | tr '\n' ' '
  echo
}

# call TAG ADDRESSES ROUTE WORKSPACE INPUT sends a request with the tag as its
# idempotency key and stores the response in files named after the tag.
call() {
  code=0
  "$bin/sequoiafork" call "$3" -addr "$2" -direct -workspace "$4" -input "$5" -key "$1" -json \
    > "$dir/$1.out" 2> "$dir/$1.err" || code=$?
  echo "$code" > "$dir/$1.code"
  echo "$3" > "$dir/$1.route"
  echo "$5" > "$dir/$1.input"
}

# expect ROUTE INPUT prints the correct output of a request.
expect() {
  case $1 in
    logbook | score) set -- encoder:encode,retriever:retrieve,reranker:rerank,engine:generate:scribe:24 "$2" ;;
    crew | copy) set -- encoder:encode,service:commit "$2" ;;
  esac
  "$bin/standin" expect -stages "$1" "$2"
}

# judge TAG compares the response to a caller with the correct output and with the
# ledgers of the upstreams.
judge() {
  code=$(cat "$dir/$1.code")
  route=$(cat "$dir/$1.route")
  input=$(cat "$dir/$1.input")
  want=$(expect "$route" "$input")
  committed=$("$bin/standin" expect -stages encoder:encode "$input")
  runs=$(grep -c " commit .* $committed\$" "$dir/ledger" || :)
  case $code in
    0) said=answered ;;
    5) said=unknown ;;
    6) said=not_run ;;
    *) said="exit code $code" ;;
  esac
  printf '  %-16s %-8s %-9s' "$1" "$route" "$said"
  case $route in crew | copy) printf ' executed %s times' "$runs" ;; esac
  echo
  case $said in
    answered) grep -qF "\"$want\"" "$dir/$1.out" || fail "$1: wrong output: got $(cat "$dir/$1.out"), want $want" ;;
    unknown | not_run) ;;
    *) fail "$1: lost: $(cat "$dir/$1.out" "$dir/$1.err")" ;;
  esac
  case $route in
    logbook | score) [ "$said" = answered ] || fail "$1: lost: $(cat "$dir/$1.out" "$dir/$1.err")" ;;
    crew | copy)
      [ "$runs" -le 1 ] || fail "$1: executed more than once"
      [ "$said" != answered ] || [ "$runs" -ge 1 ] || fail "$1: lost: answered and never executed"
      [ "$said" != not_run ] || [ "$runs" -eq 0 ] || fail "$1: reported not_run, but was executed"
      ;;
  esac
}

echo "== build"
mkdir -p "$bin"
go build -o "$bin/" ./cmd/standin ./cmd/sequoiaforkd ./cmd/sequoiafork

echo "== platform and upstreams"
hosts= upstreams=
standin log log
log=$addr
standin hostlist hostlist
hostlist=$addr
for dc in dc1 dc2; do
  upstream encoder $dc pool -kind encoder
  upstream retriever $dc pool -kind retriever
  upstream reranker $dc pool -kind reranker
  upstream engine $dc engine -models scribe -service-ms 20
  upstream repairs $dc service -service-ms 400
  upstream orders $dc service -service-ms 400
done
# shellcheck disable=SC2086
"$bin/standin" hosts -hostlist "$hostlist" $hosts

echo "== daemons"
callers= operators= seeds=
daemon 1
daemon 2
daemon 3
victim=$last_daemon
victim_addr=$caller
for n in 1 2 3; do wait_line "$dir/daemon$n.log" 'state is complete'; done

echo "== tables"
edit pool set encoders kind=encoder service=encoder concurrency=8
edit pool set retrievers kind=retriever service=retriever concurrency=8
edit pool set rerankers kind=reranker service=reranker concurrency=8
edit pool set engines kind=engine service=engine concurrency=8 models=scribe shares=ardennes:2,piedmont:1
edit pool set repairs kind=service service=repairs concurrency=8
edit pool set orders kind=service service=orders concurrency=8
edit route set logbook deadline=10s stages=encode:encoders,retrieve:retrievers,rerank:rerankers,generate:engines/scribe/24tok
edit route set score deadline=10s stages=encode:encoders,retrieve:retrievers,rerank:rerankers,generate:engines/scribe/24tok
edit route set crew deadline=10s 'stages=encode:encoders,commit:repairs!'
edit route set copy deadline=10s 'stages=encode:encoders,commit:orders!'
sleep 1

echo "== requests, some to a daemon that is killed (SIGKILL) while they run"
others=$(echo "$callers" | sed 's/,[^,]*$//')
tags= waits=
for n in 1 2 3; do
  for to in stays dies; do
    addrs=$callers
    [ "$to" = stays ] || addrs=$victim_addr,$others
    call "season-$n-$to" "$addrs" logbook ardennes "summarise the season of bothy $n, $to" & waits="$waits $!"
    call "proof-$n-$to" "$addrs" score piedmont "proof cantata $n, $to" & waits="$waits $!"
    call "roof-$n-$to" "$addrs" crew ardennes "dispatch a crew to roof $n, $to" & waits="$waits $!"
    call "order-$n-$to" "$addrs" copy piedmont "engrave cantata $n, $to" & waits="$waits $!"
    tags="$tags season-$n-$to proof-$n-$to roof-$n-$to order-$n-$to"
  done
done
sleep 0.3
kill -9 "$victim"
echo "  killed daemon3"
for pid in $waits; do wait "$pid"; done
sleep 1

echo "== executions of each upstream"
# shellcheck disable=SC2086
"$bin/standin" ledger $upstreams > "$dir/ledger"
awk '{ n[$1 " " $2 " " $3]++ } END { for (k in n) print "  " k " " n[k] }' "$dir/ledger" | sort

echo "== outcomes that callers received"
for tag in $tags; do judge "$tag"; done

answered=$(cat "$dir"/*.code | grep -c '^0$' || :)
echo "== $answered of 24 answered, $failures checks failed (lost, executed twice or wrong output)"
[ "$failures" -eq 0 ]

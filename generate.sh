#!/bin/sh
# Regenerates internal/wire from api/. With -check, it leaves internal/wire as it is and fails if it is out of date.
set -eu
cd "$(dirname "$0")"
root=$PWD
out=internal/wire
[ "${1:-}" = -check ] && check=$(mktemp -d -p .) && out=$check/wire
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/ogen" github.com/ogen-go/ogen/cmd/ogen
GOFLAGS=-mod=mod go build -modfile=tools/go.mod -o "$bin/" github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
for name in caller operator platform upstream standin keyedlog; do
  "$bin/ogen" --loglevel error --clean --config api/ogen.yaml --package "${name}api" --target "$out/${name}api" "api/$name.yaml"
done
sed "s|out: .*|out: $out/gen|" api/buf.gen.yaml > "$bin/buf.gen.yaml"
rm -rf "$out/gen"
(cd api/proto && PATH="$bin:$PATH" buf generate --template "$bin/buf.gen.yaml" -o "$root")
for name in record peer; do
  mkdir -p "$out/${name}pb"
  rm -f "$out/${name}pb"/*.go
  mv "$out/gen/sequoiafork/internal/wire/${name}pb"/*.go "$out/${name}pb/"
done
rm -rf "$out/gen"
if [ "${1:-}" = -check ]; then
  diff -r "$out" internal/wire || { echo "internal/wire is not current: run sh generate.sh" >&2; exit 1; }
  rm -rf "$check"
fi

#!/bin/sh
# Builds the program that plays the scripts of this folder: the stand-ins of the platform, the servers and the clients.
# It needs the standard library only.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -o ../../target/reviewcase .

// Package perf benchmarks a daemon process over its network interfaces:
//
//	go test ./internal/perf -run '^$' -bench . -benchtime 10000x
package perf

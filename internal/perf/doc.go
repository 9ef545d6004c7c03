// Package perf measures a daemon from the outside with benchmarks:
//
//	go test ./internal/perf -run '^$' -bench . -benchtime 10000x
package perf

// Package key makes and reads the identifiers that requests, attempts and
// process incarnations carry.
package key

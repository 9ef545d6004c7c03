// Package e2e tests the guarantees of the system with real processes on loopback:
// daemons, and stand-ins for the platform and the upstreams. Its oracle relies only
// on the ledgers of the stand-ins and on the responses that callers received.
package e2e

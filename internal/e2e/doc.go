// Package e2e proves promises of the system over real processes on loopback:
// daemons, and stand-ins for the platform and the upstreams. The ledgers of the
// stand-ins and what callers got are the only evidence that its oracle takes.
package e2e

package upstream

import (
	"fmt"
	"net/netip"
)

// AddrError reports an address to which no request can be sent.
type AddrError struct {
	Addr string
	// Cause is why it can't be parsed, or nil.
	Cause error
}

// Error implements error.
func (e *AddrError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("address: %v", e.Cause)
	}
	return fmt.Sprintf("address %q is not the IP address and port of a host", e.Addr)
}

// Unwrap returns the cause.
func (e *AddrError) Unwrap() error { return e.Cause }

// CheckAddr checks that requests can be sent to an address: it is the IP address and the port of a host. The error is an
// *AddrError.
func CheckAddr(addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	ip := parsed.Addr()
	if err != nil || parsed.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return &AddrError{
			Addr:  addr,
			Cause: err,
		}
	}
	return nil
}

// Package hostcapacity compares the hosts of daemons by what they can bear.
//
// It answers the load of a deployment with hosts of very different sizes: work that one daemon does for all, such
// as scheduling, must not be given to a host that is too small for it only because it started last.
//
//	if a.Class(largest) < b.Class(largest) {
//		// a is at least twice as large as b.
//	}
//
// DivideMemory says how much a daemon may keep of what upstreams and the store send.
package hostcapacity

import "math/bits"

// Capacity is what a host has. Its zero value means that it is not known. It is an immutable value.
type Capacity struct {
	// MilliCores is the processor time that the daemon may use, in thousandths of a core.
	MilliCores uint32 `json:"milli_cores"`
}

// milliCoresPerCore is the number of thousandths in a core.
const milliCoresPerCore = 1000

// FromCores returns the capacity of a host on which a daemon may use a number of cores.
func FromCores(cores float64) Capacity {
	return Capacity{
		MilliCores: uint32(cores * milliCoresPerCore),
	}
}

// Known reports whether the capacity is known.
func (c Capacity) Known() bool { return c.MilliCores > 0 }

// Max returns the larger of two capacities.
func (c Capacity) Max(other Capacity) Capacity {
	if other.MilliCores > c.MilliCores {
		return other
	}
	return c
}

// Class returns how many times smaller c is than the largest host, as a power of two: 0 from a half on, 1 from a
// quarter on, and so on. Hosts of one class are equal in a choice, so that a choice does not move because of a
// slightly larger host. A host whose capacity is not known counts as one of the largest, since daemons of a
// version without capacities are chosen as before.
func (c Capacity) Class(largest Capacity) int {
	if !c.Known() {
		return 0
	}
	return bits.Len32(max(largest.MilliCores/c.MilliCores, 1)) - 1
}

// Less reports whether c is known and smaller than other.
func (c Capacity) Less(other Capacity) bool { return c.Known() && c.MilliCores < other.MilliCores }

package entryhost

import "sequoiafork/internal/hostcapacity"

// PeerAddress is the address of a daemon, alive or not, with the capacity of its host, if that is known.
type PeerAddress struct {
	Addr     string
	Capacity hostcapacity.Capacity
}

// peerAddresses returns addresses with unknown capacities.
func peerAddresses(addrs []string) []PeerAddress {
	list := make([]PeerAddress, len(addrs))
	for i, addr := range addrs {
		list[i].Addr = addr
	}
	return list
}

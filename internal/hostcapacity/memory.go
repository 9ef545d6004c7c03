package hostcapacity

// bytesPerMB is the number of bytes in a megabyte.
const bytesPerMB = 1_000_000

// Bounds of the memory of a daemon on a host that has plenty of it, in bytes.
const (
	maxHeapBytes      = 192 << 20
	maxResponseBytes  = 64 << 20
	maxStorePageBytes = 32 << 20
	maxSnapshotBytes  = 64 << 20
)

// Shares of a host's memory, as divisors. What they leave is for the program itself, stacks, the buffers of sockets and
// the garbage that arises between two collections.
const (
	heapShare      = 3
	responseShare  = 8
	storePageShare = 9
	snapshotShare  = 9
)

// Memory is how a daemon divides the memory of its host, in bytes. It is an immutable value.
type Memory struct {
	// Heap is the size of the heap from which on the garbage collector runs as often as needed.
	Heap int64
	// Responses is for the buffers of all responses of upstreams, and StorePages for those of the store.
	Responses, StorePages int64
	// Snapshot is for the newest records of one topic of the store while they are read.
	Snapshot int64
}

// DivideMemory divides a host's memory in megabytes. Zero means that it is not known, and plenty.
func DivideMemory(megabytes float64) Memory {
	share := func(divisor, most int64) int64 {
		if megabytes <= 0 {
			return most
		}
		return min(int64(megabytes*bytesPerMB)/divisor, most)
	}
	return Memory{
		Heap:       share(heapShare, maxHeapBytes),
		Responses:  share(responseShare, maxResponseBytes),
		StorePages: share(storePageShare, maxStorePageBytes),
		Snapshot:   share(snapshotShare, maxSnapshotBytes),
	}
}

package hostcapacity

const (
	// smallDivisor divides the largest host: hosts below that are small beside it.
	smallDivisor = 4
	// sufficientShare is the share of all capacity that the other hosts must have for the small ones to be
	// left out. It keeps their load below twice that of an even spread.
	sufficientShare = 0.5
)

// Least returns the least capacity of hosts to which callers are directed. It is a quarter of the largest one if the
// hosts from there on have half of the capacity of all, and otherwise zero, which no host is below.
//
// It answers the load of hosts of very different sizes to which callers connect alike: a request takes several
// times as long on a small one.
func Least(hosts []Capacity) Capacity {
	var largest Capacity
	for _, c := range hosts {
		largest = largest.Max(c)
	}
	least := Capacity{
		MilliCores: largest.MilliCores / smallDivisor,
	}
	sum, kept := 0.0, 0.0
	for _, c := range hosts {
		sum += float64(c.MilliCores)
		if !c.Less(least) {
			kept += float64(c.MilliCores)
		}
	}
	if kept < sufficientShare*sum {
		return Capacity{}
	}
	return least
}

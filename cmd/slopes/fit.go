package main

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// fit is the linear regression of one metric over the number of daemons or the rate of
// edits.
type fit struct {
	name             string
	intercept, slope float64 // value = at + by * daemons
	r2               float64
	residualStdDev   float64 // standard deviation of the points around the line
	target           int
	atTarget         float64
}

// String prints a fit as one line of name=value fields.
func (f fit) String() string {
	return fmt.Sprintf("fit=%s intercept=%.4g slope=%.4g r2=%.3f spread=%.3g at_%d=%.4g",
		f.name, f.intercept, f.slope, f.r2, f.residualStdDev, f.target, f.atTarget)
}

// fittedMetrics are the values of a point that are fitted.
var fittedMetrics = []struct {
	name    string
	valueOf func(p point) float64
}{
	{
		name:    "links",
		valueOf: func(p point) float64 { return p.links },
	},
	{
		name:    "bytes_in_per_s",
		valueOf: func(p point) float64 { return p.bytesIn },
	},
	{
		name:    "bytes_out_per_s",
		valueOf: func(p point) float64 { return p.bytesOut },
	},
	{
		name:    "cpu_percent",
		valueOf: func(p point) float64 { return 100 * p.cpu },
	},
	{
		name:    "heap_kib",
		valueOf: func(p point) float64 { return p.heapKiB },
	},
	{
		name:    "stack_kib",
		valueOf: func(p point) float64 { return p.stackKiB },
	},
	{
		name:    "join_bytes",
		valueOf: func(p point) float64 { return p.joinBytes },
	},
	{
		name:    "leaving_ms",
		valueOf: func(p point) float64 { return p.leavingMs },
	},
	{
		name:    "upstream_ms",
		valueOf: func(p point) float64 { return p.upstreamMs },
	},
	{
		name:    "record_ms",
		valueOf: func(p point) float64 { return p.recordMs },
	},
	{
		name:    "in_force_ms",
		valueOf: func(p point) float64 { return p.appliedMs },
	},
}

func fitAll(points []point, target int) []fit {
	list := make([]fit, 0, len(fittedMetrics))
	for _, m := range fittedMetrics {
		x := make([]float64, len(points))
		y := make([]float64, len(points))
		for i, p := range points {
			x[i] = float64(p.daemons)
			y[i] = m.valueOf(p)
		}
		list = append(list, fitLine(m.name, x, y, target))
	}
	return list
}

func fitLine(name string, x, y []float64, target int) fit {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	residuals := 0.0
	for i := range x {
		d := y[i] - intercept - slope*x[i]
		residuals += d * d
	}
	return fit{
		name:           name,
		intercept:      intercept,
		slope:          slope,
		r2:             stat.RSquared(x, y, nil, intercept, slope),
		residualStdDev: math.Sqrt(residuals / max(1, float64(len(x)-2))),
		target:         target,
		atTarget:       intercept + slope*float64(target),
	}
}

package main

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// fit is a straight line through the points of one figure.
type fit struct {
	name     string
	at, by   float64 // value = at + by * daemons
	r2       float64
	spread   float64 // standard deviation of the points around the line
	target   int
	atTarget float64
}

// String prints a fit as one line of name=value fields.
func (f fit) String() string {
	return fmt.Sprintf("fit=%s intercept=%.4g slope=%.4g r2=%.3f spread=%.3g at_%d=%.4g",
		f.name, f.at, f.by, f.r2, f.spread, f.target, f.atTarget)
}

// figures are the values of a point that are fitted.
var figures = []struct {
	name string
	of   func(p point) float64
}{
	{
		name: "links",
		of:   func(p point) float64 { return p.links },
	},
	{
		name: "bytes_in_per_s",
		of:   func(p point) float64 { return p.bytesIn },
	},
	{
		name: "bytes_out_per_s",
		of:   func(p point) float64 { return p.bytesOut },
	},
	{
		name: "cpu_percent",
		of:   func(p point) float64 { return 100 * p.cpu },
	},
	{
		name: "heap_kib",
		of:   func(p point) float64 { return p.heapKiB },
	},
	{
		name: "stack_kib",
		of:   func(p point) float64 { return p.stackKiB },
	},
	{
		name: "join_bytes",
		of:   func(p point) float64 { return p.joinBytes },
	},
	{
		name: "leaving_ms",
		of:   func(p point) float64 { return p.leavingMs },
	},
	{
		name: "upstream_ms",
		of:   func(p point) float64 { return p.upstreamMs },
	},
	{
		name: "record_ms",
		of:   func(p point) float64 { return p.recordMs },
	},
	{
		name: "in_force_ms",
		of:   func(p point) float64 { return p.inForceMs },
	},
}

func fits(points []point, target int) []fit {
	list := make([]fit, 0, len(figures))
	for _, fig := range figures {
		x := make([]float64, len(points))
		y := make([]float64, len(points))
		for i, p := range points {
			x[i] = float64(p.daemons)
			y[i] = fig.of(p)
		}
		list = append(list, line(fig.name, x, y, target))
	}
	return list
}

func line(name string, x, y []float64, target int) fit {
	at, by := stat.LinearRegression(x, y, nil, false)
	residuals := 0.0
	for i := range x {
		d := y[i] - at - by*x[i]
		residuals += d * d
	}
	return fit{
		name:     name,
		at:       at,
		by:       by,
		r2:       stat.RSquared(x, y, nil, at, by),
		spread:   math.Sqrt(residuals / max(1, float64(len(x)-2))),
		target:   target,
		atTarget: at + by*float64(target),
	}
}

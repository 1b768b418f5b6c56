// Package fit fits a straight line to costs that were measured at several sizes,
// and evaluates it at other sizes.
//
// # Usage
//
//	l := fit.Of([]fit.Point{{10, 1.2}, {100, 2.9}, {750, 16}})
//	cost := l.At(1500)
package fit

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// MinPoints is the minimum number of points for a fit.
const MinPoints = 3

// Point is the cost at one size.
type Point struct {
	Size, Cost float64
}

// Line is cost = Intercept + Slope*size. R2 is the share of the variance that
// the line explains.
type Line struct {
	Intercept, Slope, R2 float64
}

// Of returns the least-squares line through the points. It panics when there are
// fewer than MinPoints.
func Of(points []Point) Line {
	if len(points) < MinPoints {
		panic(fmt.Sprintf("too few points to fit a line: %d", len(points)))
	}
	x, y := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		x[i], y[i] = p.Size, p.Cost
	}
	var l Line
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	l.R2 = stat.RSquared(x, y, nil, l.Intercept, l.Slope)
	return l
}

// At returns the cost at a size, or 0 where the line is negative.
func (l Line) At(size float64) float64 { return max(l.Intercept+l.Slope*size, 0) }

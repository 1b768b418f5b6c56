// Package fit fits a straight line to a cost that was measured at several
// sizes, and reads it at another size.
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

// MinPoints is the least number of sizes that a slope is taken from.
const MinPoints = 3

// Point is a cost at a size.
type Point struct {
	Size, Cost float64
}

// Line is cost = Intercept + Slope*size. R2 is the share of the variance that
// the line explains.
type Line struct {
	Intercept, Slope, R2 float64
}

// Of returns the least-squares line through the points, of which there are
// MinPoints or more.
func Of(points []Point) Line {
	if len(points) < MinPoints {
		panic(fmt.Sprintf("a slope from %d sizes", len(points)))
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

// At returns the cost at a size; a line never tells a cost below zero.
func (l Line) At(size float64) float64 { return max(l.Intercept+l.Slope*size, 0) }

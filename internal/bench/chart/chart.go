package chart

import (
	"image/color"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/loadgen"
)

const (
	width  = 18 * vg.Centimeter
	height = 8 * vg.Centimeter
	// headroom leaves space for the legend above the highest point.
	headroom = 1.3
)

var attainedColour = color.RGBA{R: 20, G: 90, B: 180, A: 255}

// Draw writes a chart of the offered and attained requests of each step to a file whose extension selects the format.
func Draw(path, title string, points []loadgen.Point) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests in a step"
	p.Y.Min = 0
	offered, err := line(points, func(x loadgen.Point) int { return x.Offered })
	if err != nil {
		return merry.Prepend(err, "draw")
	}
	attained, err := line(points, func(x loadgen.Point) int { return x.Attained })
	if err != nil {
		return merry.Prepend(err, "draw")
	}
	offered.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	attained.Color = attainedColour
	attained.Width = vg.Points(1.5)
	p.Add(plotter.NewGrid(), offered, attained)
	p.Legend.Top = true
	p.Y.Max *= headroom
	p.Legend.Add("offered", offered)
	p.Legend.Add("attained", attained)
	return merry.Prepend(p.Save(width, height, path), "draw")
}

func line(points []loadgen.Point, value func(loadgen.Point) int) (*plotter.Line, error) {
	xy := make(plotter.XYs, 0, len(points))
	for _, point := range points {
		// No requests are offered any more; only late answers arrive.
		if point.Offered == 0 {
			continue
		}
		xy = append(xy, plotter.XY{X: point.Second, Y: float64(value(point))})
	}
	return plotter.NewLine(xy)
}

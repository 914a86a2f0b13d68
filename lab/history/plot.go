package history

import (
	"fmt"
	"image/color"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth       = 24 * vg.Centimeter
	plotHeight      = 11 * vg.Centimeter
	seriesWidth     = 1.5 // points
	faultWidth      = 4   // points
	legendHeight    = 1.3 // factor on the height of the Y axis, to leave room for the legend
	faultColorStart = 4   // index of the first fault's color in the palette
)

// Plot draws the number of requests that completed in each second, with a line for each outcome, and a bar below the X axis for
// each fault. The extension of path selects the format: PNG, SVG or PDF.
func Plot(path, title string, events []Event) error {
	figure := plot.New()
	figure.Title.Text = title
	figure.X.Label.Text = "time (s)"
	figure.Y.Label.Text = "completed requests/s"
	last := lastSecond(events)
	if err := addRequests(figure, events, last); err != nil {
		return err
	}
	if err := addFaults(figure, events, last); err != nil {
		return err
	}
	figure.Legend.Top = true
	figure.Y.Max *= legendHeight
	if err := figure.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot to %s: %w", path, err)
	}
	return nil
}

// second returns the second in which an event happened, counted from 0.
func second(event *Event) int { return int(event.At / time.Second) }

// lastSecond returns the second of the last event.
func lastSecond(events []Event) (last int) {
	for i := range events {
		last = max(last, second(&events[i]))
	}
	return last
}

// addRequests adds a line for each outcome, with completed requests per second up to the last second.
func addRequests(figure *plot.Plot, events []Event, last int) error {
	counts := map[Outcome][]int{} // by outcome and second
	for i := range events {
		event := &events[i]
		if event.Kind != RequestCompleted {
			continue
		}
		outcome := event.Outcome()
		if counts[outcome] == nil {
			counts[outcome] = make([]int, last+1)
		}
		counts[outcome][second(event)]++
	}
	for i, outcome := range slices.Sorted(maps.Keys(counts)) {
		points := make(plotter.XYs, last+1)
		for at, n := range counts[outcome] {
			points[at].X, points[at].Y = float64(at), float64(n)
		}
		if err := addLine(figure, outcome.Description(), points, lineColor(i), vg.Points(seriesWidth)); err != nil {
			return err
		}
	}
	return nil
}

// addFaults adds a bar below the X axis for each fault. The bar of a fault that did not end extends to the last second.
func addFaults(figure *plot.Plot, events []Event, last int) error {
	type span struct {
		from, to float64
	}
	spans := map[string]*span{}
	for i := range events {
		event := &events[i]
		if event.Kind != FaultChanged {
			continue
		}
		if known := spans[event.Detail]; known == nil {
			spans[event.Detail] = &span{from: event.At.Seconds(), to: float64(last)}
		} else if event.Count == 0 {
			known.to = event.At.Seconds()
		}
	}
	for i, name := range slices.Sorted(maps.Keys(spans)) {
		y := -float64(i+1) * max(figure.Y.Max, 1) / 25
		bar := plotter.XYs{{X: spans[name].from, Y: y}, {X: spans[name].to, Y: y}}
		if err := addLine(figure, name, bar, lineColor(faultColorStart+i), vg.Points(faultWidth)); err != nil {
			return err
		}
	}
	return nil
}

// addLine adds a line and its entry in the legend.
func addLine(figure *plot.Plot, name string, points plotter.XYs, lineColor color.Color, width vg.Length) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("add line %q to plot: %w", name, err)
	}
	line.Color = lineColor
	line.Width = width
	figure.Add(line)
	figure.Legend.Add(name, line)
	return nil
}

// palette is the palette of Okabe and Ito, which people with color blindness can distinguish, and a gray.
var palette = []color.RGBA{
	{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{230, 159, 0, 255}, {86, 180, 233, 255}, {80, 80, 80, 255},
}

// lineColor returns the color of line i. Colors repeat after the end of the palette.
func lineColor(i int) color.Color { return palette[i%len(palette)] }

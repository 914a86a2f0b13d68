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
	legendHeight    = 1.3 // factor on the height of the Y axis
	faultColorStart = 4   // index of the first fault's color
)

// Plot draws the requests that ended in each second, by outcome, with bars for faults below. The extension of path
// chooses the format: PNG, SVG or PDF.
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
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

func second(event *Event) int { return int(event.At / time.Second) }

func lastSecond(events []Event) (last int) {
	for i := range events {
		last = max(last, second(&events[i]))
	}
	return last
}

// addRequests adds a line for each outcome.
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

// addFaults adds a bar below the X axis for each fault. One that did not end lasts until the last second.
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

func addLine(figure *plot.Plot, name string, points plotter.XYs, lineColor color.Color, width vg.Length) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	line.Color = lineColor
	line.Width = width
	figure.Add(line)
	figure.Legend.Add(name, line)
	return nil
}

// palette is that of Okabe and Ito, whose colors are told apart also with color blindness, and a grey.
var palette = []color.RGBA{
	{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{230, 159, 0, 255}, {86, 180, 233, 255}, {80, 80, 80, 255},
}

func lineColor(i int) color.Color { return palette[i%len(palette)] }

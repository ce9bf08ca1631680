// Command compare plays the same days of a site with two versions of the
// product and tells how they differ.
//
// It runs the users' bench in two checkouts, the same days under the same seeds,
// and prints for each day what either earned, then the mean of the paired
// differences with its standard error, and an SVG of them. The bench's journal
// in each checkout keeps every play.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

func main() {
	cmd := &cli.Command{
		Name:  "compare",
		Usage: "play the same days with two checkouts of the product",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bench", Required: true, Usage: "path of the bench program"},
			&cli.StringFlag{Name: "site", Required: true, Usage: "path of the site file"},
			&cli.StringFlag{Name: "before", Required: true, Usage: "checkout of the version before"},
			&cli.StringFlag{Name: "after", Required: true, Usage: "checkout of the version after"},
			&cli.StringFlag{Name: "why", Required: true, Usage: "a line for the journal"},
			&cli.StringFlag{Name: "days", Value: "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3", Usage: "days to play"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "seeds of each day"},
			&cli.IntFlag{Name: "first-seed", Value: 1000, Usage: "first seed"},
			&cli.IntFlag{Name: "jobs", Value: 4, Usage: "days played at a time"},
			&cli.StringFlag{Name: "svg", Usage: "file for a picture of the differences"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// A report is what compare needs of the bench's report of a day.
type report struct {
	Worth  float64            `json:"G"`
	Served float64            `json:"served"`
	Breaks map[string]float64 `json:"breaks"`
}

// A pair is one day under one seed, played with both versions.
type pair struct {
	day           string
	seed          int
	before, after report
}

func (p pair) difference() float64 { return p.after.Worth - p.before.Worth }

func run(ctx context.Context, cmd *cli.Command) error {
	var pairs []*pair
	for _, day := range strings.Split(cmd.String("days"), ",") {
		for i := range cmd.Int("seeds") {
			pairs = append(pairs, &pair{day: day, seed: cmd.Int("first-seed") + i})
		}
	}
	for _, checkout := range []string{cmd.String("before"), cmd.String("after")} {
		if out, err := bench(ctx, cmd, checkout, "build").CombinedOutput(); err != nil {
			return fmt.Errorf("building %s: %w: %s", checkout, err, out)
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(cmd.Int("jobs"))
	for _, p := range pairs {
		group.Go(func() (err error) {
			p.before, err = play(ctx, cmd, cmd.String("before"), p)
			return err
		})
		group.Go(func() (err error) {
			p.after, err = play(ctx, cmd, cmd.String("after"), p)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	show(pairs)
	if path := cmd.String("svg"); path != "" {
		return os.WriteFile(path, []byte(picture(pairs)), 0o644)
	}
	return nil
}

func bench(ctx context.Context, cmd *cli.Command, checkout string, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, cmd.String("bench"), args...)
	c.Dir = checkout
	return c
}

// play plays one day in a checkout.
func play(ctx context.Context, cmd *cli.Command, checkout string, p *pair) (report, error) {
	dir, err := os.MkdirTemp("", "compare")
	if err != nil {
		return report{}, err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "report.json")
	out, err := bench(ctx, cmd, checkout, "run", cmd.String("site"), p.day, "--seed", fmt.Sprint(p.seed),
		"--jobs", "1", "--no-cpu", "--report", file, "--why", cmd.String("why")).CombinedOutput()
	data, readErr := os.ReadFile(file)
	if readErr != nil {
		return report{}, fmt.Errorf("%s with seed %d: %v: %s", p.day, p.seed, err, out)
	}
	var r report
	return r, json.Unmarshal(data, &r)
}

func show(pairs []*pair) {
	fmt.Printf("%-12s %8s  %8s %8s %8s  broken\n", "day", "seed", "before", "after", "change")
	byDay := map[string][]float64{}
	var all []float64
	var days []string
	for _, p := range pairs {
		fmt.Printf("%-12s %8d  %8.3f %8.3f %+8.3f  %v %v\n", p.day, p.seed, p.before.Worth, p.after.Worth, p.difference(), p.before.Breaks, p.after.Breaks)
		if byDay[p.day] == nil {
			days = append(days, p.day)
		}
		byDay[p.day] = append(byDay[p.day], p.difference())
		all = append(all, p.difference())
	}
	for _, day := range days {
		mean, spread := summary(byDay[day])
		fmt.Printf("%-12s mean change %+.4f, standard error %.4f\n", day, mean, spread)
	}
	mean, spread := summary(all)
	fmt.Printf("%-12s mean change %+.4f, standard error %.4f, %d pairs\n", "all", mean, spread, len(all))
}

// summary returns the mean and its standard error.
func summary(values []float64) (mean, spread float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	if len(values) < 2 {
		return mean, math.NaN()
	}
	for _, v := range values {
		spread += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(spread / float64(len(values)-1) / float64(len(values)))
}

// Sizes of the picture, in pixels; a change of 1 is as wide as scale.
const (
	rowHeight = 16
	leftSide  = 160
	width     = 640
	scale     = 2000
)

// picture draws one bar for each pair, to the right for a gain.
func picture(pairs []*pair) string {
	var b strings.Builder
	middle := leftSide + (width-leftSide)/2
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", width, rowHeight*(len(pairs)+1))
	for i, p := range pairs {
		y := i * rowHeight
		w := math.Min(math.Abs(p.difference())*scale, float64(width-middle))
		x, color := float64(middle), "#2a7"
		if p.difference() < 0 {
			x, color = float64(middle)-w, "#c43"
		}
		fmt.Fprintf(&b, `<text x="4" y="%d">%s %d</text><rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/>`+"\n",
			y+rowHeight-4, p.day, p.seed, x, y+2, w, rowHeight-4, color)
	}
	fmt.Fprintf(&b, `<line x1="%d" y1="0" x2="%d" y2="%d" stroke="#333"/>`+"\n</svg>\n", middle, middle, rowHeight*len(pairs))
	return b.String()
}

// Command baseline is an entry instance with a simpler way to route or to plan
// residency, for measurements against the product. Besides the product's
// flags it takes --routing and --residency.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/birchdrift/birchdrift/internal/server"
	"github.com/birchdrift/birchdrift/internal/settings"
	"github.com/birchdrift/birchdrift/standin/baseline"
)

func main() {
	flags := append(settings.Flags(),
		&cli.StringFlag{Name: "routing", Value: baseline.Product},
		&cli.StringFlag{Name: "residency", Value: baseline.Product},
	)
	cmd := &cli.Command{Name: "baseline", Flags: flags, Action: run}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "baseline:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	set, faults := settings.Parse(cmd.String)
	if len(faults) > 0 {
		return faults[0]
	}
	opt := set.Options()
	if err := baseline.Apply(&opt, cmd.String("routing"), cmd.String("residency")); err != nil {
		return err
	}
	s, err := server.New(set, opt, server.Own, os.Stderr, os.Stdout)
	if err != nil {
		return err
	}
	_, err = s.Run()
	return err
}

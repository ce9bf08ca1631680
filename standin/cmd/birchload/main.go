// Command birchload measures entry instances, as separate processes, against
// the stand-ins: what an instance adds to a call, and how many calls attain
// their targets under the cases of docs/measurements.md.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:     "birchload",
		Usage:    "measure entry instances against the stand-ins",
		Commands: []*cli.Command{overheadCommand(), runCommand(), footprintCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "birchload:", err)
		os.Exit(1)
	}
}

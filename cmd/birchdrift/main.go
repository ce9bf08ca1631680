// Command birchdrift runs an entry instance: it serves callers, exchanges state
// with its peers, and places models for its availability zone while it holds
// that zone's lease.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/birchdrift/birchdrift/internal/environment"
	"github.com/birchdrift/birchdrift/internal/server"
	"github.com/birchdrift/birchdrift/internal/settings"
	"github.com/birchdrift/birchdrift/internal/upstream"
	"github.com/birchdrift/birchdrift/platform"
)

// Exit statuses.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitCallsCut = 3
)

// environments maps the values of the environment setting to the factories of the
// environments that an instance can run in.
var environments = map[string]server.EnvironmentFactory{
	settings.EnvironmentOwn: server.OwnEnvironment,
	settings.EnvironmentPlatform: func(set settings.Settings, t upstream.Transports) server.Environment {
		join := environment.NewFactory(platform.NewStore(set.Platform, t), platform.NewEngines(t))
		return server.Environment{Join: join, Wire: platform.Wire}
	},
}

func main() {
	cmd := &cli.Command{
		Name:  "birchdrift",
		Usage: "serve many models on fewer accelerators: one entry instance",
		Description: "Every setting is a flag and an environment variable. All invalid settings are\n" +
			"reported together, each with its allowed values, and the exit status is 2.\n" +
			"SIGTERM starts a planned stop; a second one stops at once (status 3 if calls were cut off).",
		Flags:  settings.Flags(),
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		var coder cli.ExitCoder
		if !errors.As(err, &coder) {
			fmt.Fprintln(os.Stderr, "birchdrift: BD-502 bad_usage:", err)
			os.Exit(exitUsage)
		}
		os.Exit(coder.ExitCode())
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	source := settings.Source{
		Path: cmd.String(settings.NodeFileFlag),
		Given: func(name string) (string, bool) {
			return cmd.String(name), cmd.IsSet(name)
		},
	}
	set, file, invalid := source.Read()
	if len(invalid) > 0 {
		for _, f := range invalid {
			fmt.Fprintln(os.Stderr, "birchdrift:", f)
		}
		return cli.Exit("", exitUsage)
	}
	s, err := server.New(set, set.Options(), environments[set.Environment], os.Stdout, os.Stdout)
	if err != nil {
		return cli.Exit(fmt.Sprintf("birchdrift: BD-501 bad_setting: %v", err), exitFailed)
	}
	s.ReloadFrom(source, file)
	cutCalls, err := s.Run()
	if err != nil {
		return cli.Exit(fmt.Sprintf("birchdrift: BD-901 internal: %v", err), exitFailed)
	}
	if cutCalls > 0 {
		return cli.Exit(fmt.Sprintf("birchdrift: %d calls were cut off", cutCalls), exitCallsCut)
	}
	return nil
}

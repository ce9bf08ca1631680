// Command standin runs a stand-in for one of the systems around birchdrift: the
// platform, a model engine or a plain service. It is for demonstrations and tests
// only.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/birchdrift/birchdrift/standin/engine"
	"github.com/birchdrift/birchdrift/standin/platform"
	"github.com/birchdrift/birchdrift/standin/service"
)

func main() {
	listen := &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP:port to listen on"}
	cmd := &cli.Command{
		Name:  "standin",
		Usage: "stand-ins for the platform, model engines and plain services",
		Commands: []*cli.Command{
			{Name: "platform", Usage: "values, leases, watches, instance list, weight store", Flags: append([]cli.Flag{listen}, platformFlags()...), Action: runPlatform},
			{Name: "engine", Usage: "a model engine", Flags: append([]cli.Flag{listen}, engineFlags()...), Action: runEngine},
			{Name: "service", Usage: "a plain service that records its calls", Flags: []cli.Flag{listen, &cli.StringFlag{Name: "name", Value: "service"}}, Action: runService},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func platformFlags() []cli.Flag {
	d := platform.DefaultLimits()
	return []cli.Flag{
		&cli.FloatFlag{Name: "writes", Value: d.WritesPerSecond, Usage: "writes per second"},
		&cli.FloatFlag{Name: "reads", Value: d.ReadsPerSecond, Usage: "reads per second"},
		&cli.FloatFlag{Name: "loads", Value: d.LoadsPerSecond, Usage: "weight loads started per second"},
		&cli.IntFlag{Name: "loads-at-once", Value: d.LoadsAtOnce, Usage: "concurrent weight loads at full speed"},
	}
}

func engineFlags() []cli.Flag {
	d := engine.DefaultOptions("engine")
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Value: d.Name},
		&cli.Int64Flag{Name: "memory-mib", Value: d.MemoryMiB},
		&cli.IntFlag{Name: "sequences", Value: d.Sequences},
		&cli.BoolFlag{Name: "checks-fence", Value: d.ChecksFence},
		&cli.DurationFlag{Name: "token-time", Value: d.TokenTime},
		&cli.IntFlag{Name: "prefill", Value: d.PrefillPerSecond, Usage: "prompt tokens per second"},
		&cli.IntFlag{Name: "cache-blocks", Value: d.CacheBlocks},
		&cli.Int64Flag{Name: "load-mib", Value: d.MiBPerSecond, Usage: "MiB loaded per second"},
		&cli.DurationFlag{Name: "load-lag", Value: d.LoadLag},
		&cli.StringFlag{Name: "weight-store", Usage: "IP:port of the platform stand-in"},
	}
}

func serve(cmd *cli.Command, what string, h http.Handler) error {
	l, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return err
	}
	fmt.Printf("%s listening on %s\n", what, l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(l)
}

func runPlatform(_ context.Context, cmd *cli.Command) error {
	p := platform.New(platform.Limits{
		WritesPerSecond: cmd.Float("writes"), ReadsPerSecond: cmd.Float("reads"),
		LoadsPerSecond: cmd.Float("loads"), LoadsAtOnce: cmd.Int("loads-at-once"),
	})
	return serve(cmd, "platform", p.Handler())
}

func runEngine(_ context.Context, cmd *cli.Command) error {
	opt := engine.DefaultOptions(cmd.String("name"))
	opt.MemoryMiB = cmd.Int64("memory-mib")
	opt.Sequences = cmd.Int("sequences")
	opt.ChecksFence = cmd.Bool("checks-fence")
	opt.TokenTime = cmd.Duration("token-time")
	opt.PrefillPerSecond = cmd.Int("prefill")
	opt.CacheBlocks = cmd.Int("cache-blocks")
	opt.MiBPerSecond = cmd.Int64("load-mib")
	opt.LoadLag = cmd.Duration("load-lag")
	opt.WeightStore = cmd.String("weight-store")
	return serve(cmd, opt.Name, engine.New(opt).Handler())
}

func runService(_ context.Context, cmd *cli.Command) error {
	return serve(cmd, cmd.String("name"), service.New(cmd.String("name")).Handler())
}

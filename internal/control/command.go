package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/internal/losses"
	"github.com/birchdrift/birchdrift/internal/own/keyvalue"
	"github.com/birchdrift/birchdrift/internal/settings"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// statusTimeout bounds one status request to one instance.
const statusTimeout = 3 * time.Second

// Command returns the command tree of birchctl.
func Command() *cli.Command {
	platformFlag := &cli.StringFlag{
		Name: "platform", Usage: "the platform's key-value service (IP:port)",
		Sources: cli.EnvVars(settings.EnvPrefix + "PLATFORM"), Validator: checkAddress,
	}
	operationsFlag := &cli.StringFlag{
		Name: "operations", Usage: "operations listeners of instances (IP:port, separated by commas)",
		Sources: cli.EnvVars(settings.EnvPrefix + "OPERATIONS"), Validator: checkAddresses,
	}
	return &cli.Command{
		Name:  "birchctl",
		Usage: "check, apply and inspect birchdrift's configuration and state",
		Commands: []*cli.Command{
			{Name: "validate", Usage: "check a configuration file", ArgsUsage: "FILE", Action: runValidate},
			{Name: "diff", Usage: "show what applying a file would change", ArgsUsage: "FILE", Flags: []cli.Flag{platformFlag}, Action: runDiff},
			{Name: "apply", Usage: "put a configuration file in force", ArgsUsage: "FILE", Flags: []cli.Flag{platformFlag}, Action: runApply},
			{Name: "get", Usage: "print the configuration in force", Flags: []cli.Flag{platformFlag}, Action: runGet},
			{Name: "losses", Usage: "report from instances' logs which calls were late, refused or failed, and why", ArgsUsage: "[FILE ...] (standard input without one)", Action: runLosses},
			{Name: "status", Usage: "show the state of instances", Flags: []cli.Flag{operationsFlag}, Action: runStatus},
			{
				Name: "explain", Usage: "explain why a model is resident or not, or how calls were routed",
				Commands: []*cli.Command{
					{Name: "model", Usage: "where a model or adapter is resident and why", ArgsUsage: "NAME", Flags: []cli.Flag{operationsFlag}, Action: runExplain(ExplainItem)},
					{Name: "calls", Usage: "the latest routing decisions for a service or model", ArgsUsage: "NAME", Flags: []cli.Flag{operationsFlag}, Action: runExplain(ExplainService)},
				},
			},
		},
	}
}

func checkAddress(v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return code.Errorf(code.BadSetting, "%q is not IP:port", v)
	}
	return nil
}

func checkAddresses(v string) error {
	for _, a := range strings.Split(v, ",") {
		if err := checkAddress(a); err != nil {
			return err
		}
	}
	return nil
}

// readFile reads and validates the configuration file named on the command line.
func readFile(cmd *cli.Command) (config.Document, error) {
	if cmd.Args().Len() != 1 {
		return config.Document{}, code.Errorf(code.BadUsage, "exactly one FILE is required")
	}
	name := cmd.Args().First()
	data, err := os.ReadFile(name)
	if err != nil {
		return config.Document{}, code.Errorf(code.BadUsage, "%v", err)
	}
	doc, faults := Validate(data)
	if len(faults) == 0 {
		return doc, nil
	}
	errs := make([]error, 0, len(faults))
	for _, f := range faults {
		errs = append(errs, fmt.Errorf("%s: %w", name, f))
	}
	return config.Document{}, errors.Join(errs...)
}

func platformClient(cmd *cli.Command) (*keyvalue.Client, error) {
	address := cmd.String("platform")
	if address == "" {
		return nil, code.Errorf(code.BadSetting, "--platform (%sPLATFORM) is missing; allowed: IP:port", settings.EnvPrefix)
	}
	return keyvalue.NewClient(address, upstream.NewTransports()), nil
}

func runValidate(_ context.Context, cmd *cli.Command) error {
	doc, err := readFile(cmd)
	if err != nil {
		return err
	}
	data, err := doc.Encode()
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "valid: %d services, %d models, %d adapters, %d engines; %d bytes stored\n",
		len(doc.Services), len(doc.Models), len(doc.Adapters), len(doc.Engines), len(data))
	return nil
}

// readFileAndConnect reads the configuration file and then returns a client of the
// platform, in this order so that an invalid file is reported even without a platform.
func readFileAndConnect(cmd *cli.Command) (config.Document, *keyvalue.Client, error) {
	doc, err := readFile(cmd)
	if err != nil {
		return doc, nil, err
	}
	p, err := platformClient(cmd)
	return doc, p, err
}

func runDiff(ctx context.Context, cmd *cli.Command) error {
	doc, p, err := readFileAndConnect(cmd)
	if err != nil {
		return err
	}
	stored, err := Get(ctx, p)
	if err != nil {
		return err
	}
	diff, err := Diff(stored.Document, doc)
	if err != nil {
		return err
	}
	fmt.Fprint(cmd.Root().Writer, diff)
	return nil
}

func runApply(ctx context.Context, cmd *cli.Command) error {
	doc, p, err := readFileAndConnect(cmd)
	if err != nil {
		return err
	}
	revision, err := Apply(ctx, p, doc)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "revision %d accepted\n", revision)
	return nil
}

func runGet(ctx context.Context, cmd *cli.Command) error {
	p, err := platformClient(cmd)
	if err != nil {
		return err
	}
	stored, err := Get(ctx, p)
	if err != nil {
		return err
	}
	if stored.Revision == 0 {
		return code.Errorf(code.NoConfiguration, "no configuration has been applied yet")
	}
	data, err := stored.Document.YAML()
	if err != nil {
		return err
	}
	_, err = cmd.Root().Writer.Write(data)
	return err
}

// runLosses reads instances' logs from files or standard input and reports which calls
// were late, refused, failed or unanswered.
func runLosses(_ context.Context, cmd *cli.Command) error {
	in := cmd.Root().Reader
	var files []io.Reader
	for _, name := range cmd.Args().Slice() {
		file, err := os.Open(name)
		if err != nil {
			return code.Errorf(code.BadUsage, "%v", err)
		}
		defer file.Close()
		files = append(files, file)
	}
	if len(files) > 0 {
		in = io.MultiReader(files...)
	}
	log, err := losses.Read(in)
	if err != nil {
		return code.Errorf(code.BadUsage, "%v", err)
	}
	return log.Report(cmd.Root().Writer)
}

// fetchStatuses returns the statuses of the instances named on the command line. An
// instance that does not answer is reported on standard error and left out.
func fetchStatuses(ctx context.Context, cmd *cli.Command) ([]instance.Status, error) {
	list := cmd.String("operations")
	if list == "" {
		return nil, code.Errorf(code.BadSetting, "--operations (%sOPERATIONS) is missing; allowed: IP:port, separated by commas", settings.EnvPrefix)
	}
	httpClient := &http.Client{Timeout: statusTimeout}
	var statuses []instance.Status
	for _, address := range strings.Split(list, ",") {
		st, err := FetchStatus(ctx, httpClient, address)
		if err != nil {
			fmt.Fprintf(cmd.Root().ErrWriter, "birchctl: %s does not answer: %v\n", address, err)
			continue
		}
		statuses = append(statuses, st)
	}
	if len(statuses) == 0 {
		return nil, code.Errorf(code.NoReplica, "no instance answered")
	}
	return statuses, nil
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	statuses, err := fetchStatuses(ctx, cmd)
	if err != nil {
		return err
	}
	return PrintStatus(cmd.Root().Writer, statuses)
}

func runExplain(explain func(io.Writer, string, []instance.Status)) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Len() != 1 {
			return code.Errorf(code.BadUsage, "exactly one NAME is required")
		}
		statuses, err := fetchStatuses(ctx, cmd)
		if err != nil {
			return err
		}
		explain(cmd.Root().Writer, cmd.Args().First(), statuses)
		return nil
	}
}

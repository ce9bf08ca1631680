// Package settings defines the process settings of an entry instance in one table,
// from which the flags, the environment variables, the validation and
// docs/settings.md are derived.
//
// All faults are reported together, each with the setting's name, its value and the
// allowed values, so that an operator can correct them in one go. Values of secrets
// are never shown.
package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/option"
)

// EnvPrefix is the prefix of the settings' environment variables.
const EnvPrefix = "BIRCHDRIFT_"

// Settings are the validated settings of one process. Table describes each of them.
type Settings struct {
	Name        string
	Zone        string
	Callers     string // IP:port of the callers' listener
	Peers       string // IP:port of the peers' listener
	Operations  string // IP:port of the operations listener
	Advertise   string // IP:port at which peers reach the peers' listener
	Platform    string // IP:port
	Seeds       []string
	PeerKey     string
	OpsKey      string
	LogLevel    slog.Level
	TraceShare  float64
	MaxBody     int64
	MaxAnswer   int64 // bytes
	HeaderTime  time.Duration
	IdleTime    time.Duration
	Stall       time.Duration
	MaxWaiting  int
	DefaultWait time.Duration
	StopDelay   time.Duration
	StopLimit   time.Duration
	LeaseTerm   time.Duration
	Exchange    time.Duration
	ReadEvery   time.Duration
	Environment string
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	Watchers    int
	WatchEvery  time.Duration
	WatchWait   time.Duration
	MemoryLimit int64 // MiB; 0 means no limit
	Processor   float64
	LinkRate    float64 // Mbit/s; 0 means unknown
	MeshEvery   time.Duration
	LoadWait    time.Duration
	TurnGap     time.Duration
	LeaveBound  time.Duration
	SettleTime  time.Duration
	FirstStart  bool
}

// A Setting describes one setting.
type Setting struct {
	Name    string // name of the flag, from which that of the variable is derived
	Default string
	Allowed string // description of the allowed values
	Meaning string
	Secret  bool
	set     func(s *Settings, value string) bool // returns false if the value is not allowed
}

// Env returns the name of the setting's environment variable.
func (s Setting) Env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

const (
	allowedAddress = "IP:port, no hostname"
	maxDuration    = 24 * time.Hour
)

// Table lists every setting.
var Table = []Setting{
	{"name", "", "letters, digits, '.', '_', '-'", "Name of this instance, unique in the fleet.", false, name(func(s *Settings) *string { return &s.Name })},
	{"zone", "", "letters, digits, '.', '_', '-'", "Availability zone of this instance, as the configuration names it.", false, name(func(s *Settings) *string { return &s.Zone })},
	{"listen-callers", "127.0.0.1:8080", allowedAddress, "Listener for callers.", false, address(func(s *Settings) *string { return &s.Callers })},
	{"listen-peers", "127.0.0.1:8081", allowedAddress, "Listener for the other entry instances.", false, address(func(s *Settings) *string { return &s.Peers })},
	{"listen-operations", "127.0.0.1:8082", allowedAddress, "Listener for health, readiness, metrics and status.", false, address(func(s *Settings) *string { return &s.Operations })},
	{"advertise-peers", "", allowedAddress + "; empty: the address of the listener", "Address at which other entry instances reach the peers' listener.", false, optional(address(func(s *Settings) *string { return &s.Advertise }))},
	{"platform", "", allowedAddress, "The platform's key-value service.", false, address(func(s *Settings) *string { return &s.Platform })},
	{"seed-peers", "", "IP:port, separated by commas", "Peers to contact while the platform's list is not known.", false, seeds},
	{"peer-key", "", "any text", "Shared key with which entry instances authenticate to each other.", true, text(func(s *Settings) *string { return &s.PeerKey })},
	{"operations-key", "", "any text", "Key that calls which change something on the operations listener must carry; empty disables those calls.", true, text(func(s *Settings) *string { return &s.OpsKey })},
	{"log-level", "info", "debug, info, warn or error", "Lowest level of log lines that are written.", false, level},
	{"trace-share", "0", "0 to 1", "Share of calls whose spans are written to standard output.", false, number(func(s *Settings) *float64 { return &s.TraceShare }, 0, 1)},
	{"max-body", "4194304", "1024 to 1073741824", "Largest body of a model call, in bytes.", false, integer(func(s *Settings) *int64 { return &s.MaxBody }, 1024, 1<<30)},
	{"max-answer", "16777216", "1024 to 1073741824", "Largest body of an upstream's answer that is passed on, in bytes; a larger one is cut.", false, integer(func(s *Settings) *int64 { return &s.MaxAnswer }, 1024, 1<<30)},
	{"header-time", "10s", "100ms to 24h", "Time that a caller may take to send a request's headers, or for which it may send nothing within the body.", false, duration(func(s *Settings) *time.Duration { return &s.HeaderTime }, 100*time.Millisecond)},
	{"idle-time", "2m", "100ms to 24h", "Time for which a caller's connection may be idle.", false, duration(func(s *Settings) *time.Duration { return &s.IdleTime }, 100*time.Millisecond)},
	{"stall", "10s", "100ms to 24h", "Time without any byte from an upstream, or without an event of a stream that it sends, after which an attempt counts as failed.", false, duration(func(s *Settings) *time.Duration { return &s.Stall }, 100*time.Millisecond)},
	{"max-waiting", "512", "1 to 100000", "Largest number of calls that may wait in this instance for a replica.", false, count(func(s *Settings) *int { return &s.MaxWaiting }, 1, 100000)},
	{"default-wait", "10s", "0s to 24h", "Longest time to the first token if no policy states one.", false, duration(func(s *Settings) *time.Duration { return &s.DefaultWait }, 0)},
	{"stop-delay", "3s", "0s to 24h", "Time for which a stopping instance still accepts calls, until the load balancer notices.", false, duration(func(s *Settings) *time.Duration { return &s.StopDelay }, 0)},
	{"stop-limit", "10m", "0s to 24h", "Time after which a stop cuts off the remaining calls.", false, duration(func(s *Settings) *time.Duration { return &s.StopLimit }, 0)},
	{"lease-term", "10s", "500ms to 24h", "Term of the zone planner's lease.", false, duration(func(s *Settings) *time.Duration { return &s.LeaseTerm }, 500*time.Millisecond)},
	{"exchange-every", "2s", "50ms to 24h", "Time between exchanges with peers.", false, duration(func(s *Settings) *time.Duration { return &s.Exchange }, 50*time.Millisecond)},
	{"read-every", "1s", "50ms to 24h", "Time between reads of one engine's state.", false, duration(func(s *Settings) *time.Duration { return &s.ReadEvery }, 50*time.Millisecond)},
	{"environment", EnvironmentOwn, "own or platform", "Environment of the instance: the product's own interfaces, or the users' platform.", false, oneOf(func(s *Settings) *string { return &s.Environment }, EnvironmentOwn, EnvironmentPlatform)},
	{"retry-ratio", "0.2", "0 to 10", "Retries of calls that are allowed, as a share of a service's calls within the window.", false, number(func(s *Settings) *float64 { return &s.RetryRatio }, 0, 10)},
	{"retry-window", "10s", "100ms to 24h", "Time window over which retries of calls are counted.", false, duration(func(s *Settings) *time.Duration { return &s.RetryWindow }, 100*time.Millisecond)},
	{"retry-slack", "50", "0 to 1000000", "Retries of a service's calls that all instances together may make beyond the share.", false, number(func(s *Settings) *float64 { return &s.RetrySlack }, 0, 1e6)},
	{"watchers", "2", "1 to 1000", "Number of instances of a zone that watch the platform; the others learn changes from them. On the users' platform all instances watch in a fleet of up to 16.", false, count(func(s *Settings) *int { return &s.Watchers }, 1, 1000)},
	{"watch-wait", "0s", "0s to 24h", "How long one watch call waits at the platform for a change; 0: derived from `--leave-bound` on the users' platform, 25s in the product's own environment.", false, duration(func(s *Settings) *time.Duration { return &s.WatchWait }, 0)},
	{"watch-every", "0s", "0s to 24h", "Shortest time between two watch calls, so that changes that happen together arrive together; 0: derived from `--leave-bound` on the users' platform, none in the product's own environment.", false, duration(func(s *Settings) *time.Duration { return &s.WatchEvery }, 0)},
	{"mesh-every", "0s", "0s to 24h", "Time between exchanges with every peer of a small fleet; 0 for none.", false, duration(func(s *Settings) *time.Duration { return &s.MeshEvery }, 0)},
	{"load-wait", "0s", "0s to 1s", "How long a forwarded call waits for announced engines to report their load, in a fleet too large to exchange pairwise; 0: it does not request it.", false, atMost(time.Second, duration(func(s *Settings) *time.Duration { return &s.LoadWait }, 0), func(s *Settings) time.Duration { return s.LoadWait })},
	{"turn-gap", "3s", "0s to 24h", "Shortest time between the orders of two instances to one announced engine.", false, duration(func(s *Settings) *time.Duration { return &s.TurnGap }, 0)},
	{"leave-bound", "2s", "100ms to 24h", "Longest time from the platform's change that a replica is leaving to the last call that reaches it. How often the platform is watched is derived from it.", false, duration(func(s *Settings) *time.Duration { return &s.LeaveBound }, 100*time.Millisecond)},
	{"settle-time", "3s", "100ms to 24h", "How long the instance and the platform must have been undisturbed for that bound to hold. How soon the platform is called again after an outage is derived from it.", false, duration(func(s *Settings) *time.Duration { return &s.SettleTime }, 100*time.Millisecond)},
	{"first-start", "false", "true or false; empty: false", "Whether this is the first start of the whole fleet. It counts only for the instance that finds no record of an earlier one in the platform's store. An instance that starts later asks the others which versions of replicas served lately, and streams that are taken up are looked up until it knows.", false, optional(boolean(func(s *Settings) *bool { return &s.FirstStart }))},
	{"processor", "1", "0 to 1024", "Number of cores, or share of one, that the process may use. Instances with the most take on tasks for the fleet.", false, number(func(s *Settings) *float64 { return &s.Processor }, 0, 1024)},
	{"link-rate", "0", "0 to 1000000; empty: 0", "Rate of the network link in Mbit/s, in each direction; 0: unknown. New connections of callers are refused while it could not carry their calls.", false, optional(number(func(s *Settings) *float64 { return &s.LinkRate }, 0, 1e6))},
	{"memory-limit", "0", "0 to 1048576", "Memory in MiB that the process should not exceed; 0 sets no limit.", false, integer(func(s *Settings) *int64 { return &s.MemoryLimit }, 0, 1<<20)},
}

// Values of the setting environment.
const (
	EnvironmentOwn      = "own"
	EnvironmentPlatform = "platform"
)

// NodeFileFlag is the name of the flag with the path of the settings file.
const NodeFileFlag = "node-file"

// Flags returns the command-line flags of the settings in Table and of the settings file.
func Flags() []cli.Flag {
	flags := make([]cli.Flag, 0, len(Table)+1)
	flags = append(flags, &cli.StringFlag{
		Name:    NodeFileFlag,
		Usage:   "YAML file with settings by the names of their flags; flags and variables take precedence (a path)",
		Sources: cli.EnvVars(Setting{Name: NodeFileFlag}.Env()),
	})
	for _, s := range Table {
		flags = append(flags, &cli.StringFlag{
			Name:        s.Name,
			Value:       s.Default,
			Usage:       s.Meaning + " (" + s.Allowed + ")",
			Sources:     cli.EnvVars(s.Env()),
			HideDefault: s.Default == "",
		})
	}
	return flags
}

// Parse parses and validates the values of all settings and returns all faults.
func Parse(value func(name string) string) (Settings, []*code.Error) {
	var s Settings
	var faults []*code.Error
	for _, row := range Table {
		v := value(row.Name)
		if row.set(&s, v) {
			continue
		}
		shown := strconv.Quote(v)
		if row.Secret {
			shown = "(secret)"
		}
		faults = append(faults, code.Errorf(code.BadSetting, "--%s (%s) is %s; allowed: %s", row.Name, row.Env(), shown, row.Allowed))
	}
	if len(faults) == 0 {
		faults = append(faults, s.checkBounds()...)
	}
	return s, faults
}

// checkBounds returns a fault if an operator set watch times with which a leaving replica
// could get calls for longer than the leave bound.
func (s Settings) checkBounds() []*code.Error {
	if s.WatchEvery == 0 && s.WatchWait == 0 {
		return nil
	}
	if err := s.CheckLeaveBound(); err != nil {
		return []*code.Error{code.Errorf(code.BadSetting, "--leave-bound (%s), --watch-every, --watch-wait: %v", Setting{Name: "leave-bound"}.Env(), err)}
	}
	return nil
}

// CheckLeaveBound returns an error if the bound for leaving replicas cannot be kept in a
// fleet with or without a full mesh of exchanges.
func (s Settings) CheckLeaveBound() error {
	if s.Environment != EnvironmentPlatform {
		return nil
	}
	r := bounds.Timing{Exchange: s.Exchange, Pause: s.WatchEvery, Wait: s.WatchWait}
	for _, r.Mesh = range []bool{true, false} {
		if err := s.bounds().Check(r); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) bounds() bounds.Bounds {
	return bounds.Bounds{Leave: s.LeaveBound, Settle: s.SettleTime}
}

// Options returns the state machine's options.
func (s Settings) Options() option.Options {
	opt := option.Default()
	opt.Stall = s.Stall
	opt.MaxWaiting = s.MaxWaiting
	opt.DefaultWait = s.DefaultWait
	opt.StopDelay = s.StopDelay
	opt.StopLimit = s.StopLimit
	opt.LeaseTerm = s.LeaseTerm
	opt.ExchangeEvery = s.Exchange
	opt.ReadEvery = s.ReadEvery
	opt.RetryRatio = s.RetryRatio
	opt.RetryWindow = s.RetryWindow
	opt.RetrySlack = s.RetrySlack
	opt.Watchers = s.Watchers
	opt.WatchEvery = s.WatchEvery
	if s.WatchWait > 0 || s.Environment == EnvironmentPlatform {
		opt.WatchWait = s.WatchWait
	}
	opt.MeshEvery = s.MeshEvery
	opt.TurnGap = s.TurnGap
	opt.ProbeWait = s.LoadWait
	opt.Bounds = s.bounds()
	opt.FirstStart = s.FirstStart
	if s.Environment != EnvironmentOwn {
		opt.Environment = option.Platform
	}
	return opt
}

type setter = func(s *Settings, value string) bool

func text(field func(*Settings) *string) setter {
	return func(s *Settings, v string) bool {
		*field(s) = v
		return true
	}
}

var nameRE = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

func name(field func(*Settings) *string) setter {
	return func(s *Settings, v string) bool {
		*field(s) = v
		return nameRE.MatchString(v)
	}
}

func address(field func(*Settings) *string) setter {
	return func(s *Settings, v string) bool {
		*field(s) = v
		_, err := netip.ParseAddrPort(v)
		return err == nil
	}
}

func optional(set setter) setter {
	return func(s *Settings, v string) bool { return v == "" || set(s, v) }
}

func seeds(s *Settings, v string) bool {
	for _, a := range strings.Split(v, ",") {
		if a = strings.TrimSpace(a); a == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a); err != nil {
			return false
		}
		s.Seeds = append(s.Seeds, a)
	}
	return true
}

func level(s *Settings, v string) bool { return s.LogLevel.UnmarshalText([]byte(v)) == nil }

// atMost adds an upper limit to the duration that another setter accepted.
func atMost(most time.Duration, set setter, get func(*Settings) time.Duration) setter {
	return func(s *Settings, v string) bool { return set(s, v) && get(s) <= most }
}

func number(field func(*Settings) *float64, least, most float64) setter {
	return func(s *Settings, v string) bool {
		f, err := strconv.ParseFloat(v, 64)
		*field(s) = f
		return err == nil && f >= least && f <= most
	}
}

func boolean(field func(*Settings) *bool) setter {
	return func(s *Settings, v string) bool {
		*field(s) = v == "true"
		return v == "true" || v == "false"
	}
}

func oneOf(field func(*Settings) *string, words ...string) setter {
	return func(s *Settings, v string) bool {
		*field(s) = v
		return slices.Contains(words, v)
	}
}

func integer(field func(*Settings) *int64, least, most int64) setter {
	return func(s *Settings, v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*field(s) = n
		return err == nil && n >= least && n <= most
	}
}

func count(field func(*Settings) *int, least, most int) setter {
	return func(s *Settings, v string) bool {
		n, err := strconv.Atoi(v)
		*field(s) = n
		return err == nil && n >= least && n <= most
	}
}

func duration(field func(*Settings) *time.Duration, least time.Duration) setter {
	return func(s *Settings, v string) bool {
		d, err := time.ParseDuration(v)
		*field(s) = d
		return err == nil && d >= least && d <= maxDuration
	}
}

// String returns the main settings for the log, without secrets.
func (s Settings) String() string {
	return fmt.Sprintf("callers=%s peers=%s operations=%s platform=%s", s.Callers, s.Peers, s.Operations, s.Platform)
}

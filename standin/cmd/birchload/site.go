package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/internal/control"
	"github.com/birchdrift/birchdrift/internal/keyvalue"
	"github.com/birchdrift/birchdrift/internal/upstream"
	"github.com/birchdrift/birchdrift/standin/engine"
	"github.com/birchdrift/birchdrift/standin/fleet"
	"github.com/birchdrift/birchdrift/standin/platform"
	"github.com/birchdrift/birchdrift/standin/shape"
)

// A site is the stand-ins, in this process, and the instances, in their own.
type site struct {
	bin       string
	platform  *platform.Platform
	address   string
	engines   map[string]*engine.Engine
	instances []*fleet.Instance
	addresses map[string]string
	servers   []*http.Server
	size      shape.Size
}

func binDir() (string, error) {
	root, err := fleet.Root()
	return filepath.Join(root, "bin"), err
}

// listen serves h on a port that the kernel chooses.
func (s *site) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // ends with close
	return l.Addr().String(), nil
}

func newSite(size shape.Size, limits platform.Limits) (*site, error) {
	bin, err := binDir()
	if err != nil {
		return nil, err
	}
	s := &site{
		bin: bin, platform: platform.New(limits), engines: map[string]*engine.Engine{},
		addresses: map[string]string{}, size: size,
	}
	s.address, err = s.listen(s.platform.Handler())
	return s, err
}

// startEngines starts the size's engines; change alters their options.
func (s *site) startEngines(change func(*engine.Options)) error {
	for i := range s.size.Engines {
		name := shape.Engine(i)
		opt := engine.DefaultOptions(name)
		opt.MemoryMiB = s.size.EngineMiB()
		opt.WeightStore = s.address
		change(&opt)
		e := engine.New(opt)
		s.engines[name] = e
		address, err := s.listen(e.Handler())
		if err != nil {
			return err
		}
		s.addresses[name] = address
	}
	return nil
}

// startInstances starts so many entry instances over the size's zones.
func (s *site) startInstances(n int, program string, extra ...string) error {
	for i := range n {
		spec := fleet.Spec{
			Name: fmt.Sprintf("entry-%d", i+1), Zone: shape.Zone(i % s.size.Zones), Platform: s.address,
			Program: program, Extra: extra,
		}
		if err := s.start(spec, ""); err != nil {
			return err
		}
	}
	return nil
}

// startNamed starts one instance that peers reach at the address given.
func (s *site) startNamed(name, zone, advertise string) error {
	spec := fleet.Spec{Name: name, Zone: zone, Platform: s.address, Extra: []string{"--advertise-peers", advertise}}
	return s.start(spec, advertise)
}

// start starts an instance and puts it into the list under its own peers'
// address, or the one it advertises.
func (s *site) start(spec fleet.Spec, advertise string) error {
	in, err := fleet.StartInstance(s.bin, spec)
	if err != nil {
		return err
	}
	s.instances = append(s.instances, in)
	address := in.Peers
	if advertise != "" {
		address = advertise
	}
	s.platform.SetInstance(keyvalue.Instance{Name: in.Name, Kind: keyvalue.KindEntry, Zone: in.Zone, Address: address, State: keyvalue.StateLive})
	return nil
}

// apply puts a document in force and waits until every instance is ready.
func (s *site) apply(doc config.Document) error {
	p := keyvalue.NewClient(s.address, upstream.NewTransports())
	if _, err := control.Apply(context.Background(), p, doc); err != nil {
		return err
	}
	for _, in := range s.instances {
		if err := fleet.Await(in.Name+" is ready", in.Ready); err != nil {
			return fmt.Errorf("%w\n%s", err, in.Log())
		}
	}
	return nil
}

func (s *site) upstreamAddress(name string) string {
	if a, ok := s.addresses[name]; ok {
		return a
	}
	return shape.Placeholder(name)
}

func (s *site) callers() []string {
	var list []string
	for _, in := range s.instances {
		list = append(list, in.Callers)
	}
	return list
}

func (s *site) close() {
	for _, in := range s.instances {
		in.Kill()
	}
	for _, e := range s.engines {
		e.Close()
	}
	for _, server := range s.servers {
		_ = server.Close() // the run is over
	}
}

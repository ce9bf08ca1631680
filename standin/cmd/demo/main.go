// Command demo runs the whole system on one machine: a platform, engines, a plain
// service and three entry instances in two availability zones, each as a separate
// process. It applies a configuration, sends a plain call, a streaming call and a
// call that must not be retried, shows the state, and stops everything that it
// started.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/internal/control"
	"github.com/birchdrift/birchdrift/internal/own/keyvalue"
	"github.com/birchdrift/birchdrift/internal/upstream"
	"github.com/birchdrift/birchdrift/standin/fleet"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	fmt.Println("demo: all calls succeeded as expected")
}

// A demo holds the running processes.
type demo struct {
	bin       string
	platform  string
	addresses map[string]string
	processes []*fleet.Process
	instances []*fleet.Instance
}

func run() error {
	root, err := fleet.Root()
	if err != nil {
		return err
	}
	d := &demo{bin: filepath.Join(root, "bin"), addresses: map[string]string{}}
	defer d.stop()
	for _, step := range []func() error{d.startStandins, d.startInstances, d.apply, d.sendCalls, d.printStatus, d.plannedStop} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) stop() {
	for _, p := range d.processes {
		p.Kill()
	}
}

func (d *demo) startStandin(name string, args ...string) error {
	p, address, err := fleet.StartStandin(d.bin, name, args...)
	if err != nil {
		return err
	}
	d.processes = append(d.processes, p)
	d.addresses[name] = address
	return nil
}

func (d *demo) startStandins() error {
	if err := d.startStandin("platform", "platform"); err != nil {
		return err
	}
	d.platform = d.addresses["platform"]
	for i := range engines {
		name := engineName(i)
		err := d.startStandin(name, "engine", "--name", name, "--memory-mib", strconv.Itoa(engineMiB), "--weight-store", d.platform)
		if err != nil {
			return err
		}
	}
	for i := range replicas {
		name := replicaName(i)
		if err := d.startStandin(name, "service", "--name", name); err != nil {
			return err
		}
	}
	fmt.Printf("demo: started %d stand-ins\n", len(d.processes))
	return nil
}

func (d *demo) startInstances() error {
	var list []keyvalue.Instance
	for i, zone := range []string{zoneName(0), zoneName(0), zoneName(1)} {
		name := fmt.Sprintf("entry-%d", i+1)
		in, err := fleet.StartInstance(d.bin, fleet.InstanceSpec{Name: name, Zone: zone, Platform: d.platform})
		if err != nil {
			return err
		}
		d.processes = append(d.processes, in.Process)
		d.instances = append(d.instances, in)
		list = append(list, keyvalue.Instance{Name: name, Kind: keyvalue.KindEntry, Zone: zone, Address: in.Peers, State: keyvalue.StateLive})
	}
	return d.registerInstances(list)
}

// registerInstances adds the instances to the platform's list, as the platform itself
// does for instances that it starts.
func (d *demo) registerInstances(list []keyvalue.Instance) error {
	body := &strings.Builder{}
	if err := writeJSON(body, list); err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+d.platform+keyvalue.PathInstances, strings.NewReader(body.String()))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (d *demo) apply() error {
	doc := document(d.addresses)
	p := keyvalue.NewClient(d.platform, upstream.NewTransports())
	revision, err := control.Apply(context.Background(), p, doc)
	if err != nil {
		return err
	}
	fmt.Printf("demo: revision %d accepted: %d models, %d adapters, %d engines\n", revision, len(doc.Models), len(doc.Adapters), len(doc.Engines))
	start := time.Now()
	for _, in := range d.instances {
		if err := fleet.Await(in.Name+" is ready", in.Ready); err != nil {
			return errors.Join(err, errors.New(in.Log()))
		}
	}
	fmt.Printf("demo: in force on %d instances after %d ms\n", len(d.instances), time.Since(start).Milliseconds())
	return nil
}

func (d *demo) sendCalls() error {
	service := serviceName(0)
	plain := fmt.Sprintf(`{"model":%q,"max_tokens":8,"messages":[{"role":"user","content":"Which crates go to the parish?"}]}`, service)
	if err := d.callAndPrint("plain call", d.instances[0], "/v1/chat/completions", plain, nil); err != nil {
		return err
	}
	stream := strings.Replace(plain, `{"model"`, `{"stream":true,"model"`, 1)
	if err := d.callAndPrint("stream", d.instances[2], "/v1/chat/completions", stream, nil); err != nil {
		return err
	}
	once := http.Header{"Idempotency-Key": {"allocation-17"}}
	if err := d.callAndPrint("not repeatable", d.instances[1], "/services/stock/allocations", `{"crates":3}`, once); err != nil {
		return err
	}
	again, err := d.instances[2].Post("/services/stock/allocations", `{"crates":3}`, once)
	if err != nil {
		return err
	}
	fmt.Printf("demo: the same key through %s: %d %s\n", again.Instance, again.Status, strings.TrimSpace(again.Body))
	if again.Status != http.StatusConflict {
		return fmt.Errorf("second call with the same idempotency key: status %d, want 409", again.Status)
	}
	return nil
}

func (d *demo) callAndPrint(what string, in *fleet.Instance, path, body string, header http.Header) error {
	start := time.Now()
	a, err := in.Post(path, body, header)
	if err != nil {
		return err
	}
	fmt.Printf("demo: %s: %d by %s from %s after %d ms\n%s\n", what, a.Status, a.Instance, a.Upstream, time.Since(start).Milliseconds(), strings.TrimSpace(a.Body))
	if a.Status != http.StatusOK || a.Err != nil {
		return fmt.Errorf("%s: status %d, %v\n%s", what, a.Status, a.Err, in.Log())
	}
	return nil
}

func (d *demo) printStatus() error {
	var list []string
	for _, in := range d.instances {
		list = append(list, in.Operations)
	}
	ctl, err := fleet.Start("birchctl", filepath.Join(d.bin, "birchctl"), "status", "--operations", strings.Join(list, ","))
	if err != nil {
		return err
	}
	code, err := ctl.Wait()
	fmt.Println(ctl.Log())
	if err == nil && code != 0 {
		err = fmt.Errorf("birchctl status exited with status %d", code)
	}
	return err
}

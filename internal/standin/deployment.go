package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	machineType        = "m8"
	machineCPUs        = 8
	zone               = "z1"
	heartbeatIntervalS = 0.6
	machineLeaseS      = 8.0
)

// Team is a team of a deployment.
type Team struct {
	Name             string
	Guarantee, Limit float64 // CPUs
}

// Deployment is the environment of three controllers on loopback: a state service, a cloud
// with a fixed number of machines, the workers on these machines, and users. It does not
// run the controllers.
type Deployment struct {
	Members []string // the controllers' names
	State   *State
	History *History

	codec             *protocol.Codec
	teams             []Team
	apiAddresses      map[string]string // by member
	meshAddresses     map[string]string // by member
	externalAddresses map[string]string // of the services "state" and "cloud"
	servers           []*http.Server
	client            *http.Client
	machineCount      int
	stopWorkers       context.CancelFunc
	workers           sync.WaitGroup
}

// NewDeployment starts a state service and a cloud with the given number of machines. The
// machines send no heartbeats until StartWorkers.
func NewDeployment(machineCount int, teams []Team) (*Deployment, error) {
	codec, err := protocol.NewCodec()
	if err != nil {
		return nil, err
	}
	limits := make(map[string]float64)
	for _, t := range teams {
		limits[t.Name] = t.Limit
	}
	d := &Deployment{Members: []string{"a", "b", "c"}, State: NewState(codec), History: NewHistory(limits), codec: codec, teams: teams,
		apiAddresses: make(map[string]string), meshAddresses: make(map[string]string), externalAddresses: make(map[string]string), machineCount: machineCount,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}, Timeout: 5 * time.Second}}
	for _, m := range d.Members {
		if d.apiAddresses[m], err = freeAddress(); err != nil {
			return nil, err
		}
		if d.meshAddresses[m], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	for name, h := range map[string]http.Handler{"state": d.State, "cloud": http.HandlerFunc(d.serveCloud)} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("standin: %w", err)
		}
		d.externalAddresses[name] = ln.Addr().String()
		server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
		d.servers = append(d.servers, server)
		go func() { _ = server.Serve(ln) }() // returns when Close closes the server
	}
	return d, nil
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("standin: %w", err)
	}
	if err := ln.Close(); err != nil {
		return "", fmt.Errorf("standin: %w", err)
	}
	return ln.Addr().String(), nil
}

// Settings returns the text of a member's settings file.
func (d *Deployment) Settings(member string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\nsite = %q\napi_addr = %q\nmesh_addr = %q\n", member, zone, d.apiAddresses[member], d.meshAddresses[member])
	for _, m := range d.Members {
		if m != member {
			fmt.Fprintf(&b, "[[known]]\nmember = %q\nsite = %q\naddress = %q\n", m, zone, d.meshAddresses[m])
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n[settings]\nzones = [%q]\nclock_off_ms = 1.0\n", d.externalAddresses["cloud"], d.externalAddresses["state"], zone)
	for _, t := range d.teams {
		fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\ncpus = %v\ncpus_max = %v\n", t.Name, t.Guarantee, t.Limit)
	}
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %v\nlease_s = %v\ncancel_s = 20.0\n", heartbeatIntervalS, machineLeaseS)
	b.WriteString("[settings.state]\nrps = 3000.0\nwrite_rps = 1500.0\nvalue_kb = 8.0\ntxn_ops = 32\n")
	b.WriteString("[settings.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[settings.limits]\ncores = 1.0\nmem_mb = 512.0\nsockets = 4000\n")
	return b.String()
}

// StartWorkers starts the workers of all machines, which send heartbeats until Close.
func (d *Deployment) StartWorkers() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stopWorkers = cancel
	for i := range d.machineCount {
		// Each worker has a single connection: a heartbeat on the connection of the previous
		// response proves to the controller that the response arrived.
		workerClient := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		w := &worker{codec: d.codec, client: workerClient, history: d.History, name: machineName(i), apiAddresses: d.apiAddresses, members: d.Members, memberIndex: i,
			heartbeatInterval: time.Duration(heartbeatIntervalS * float64(time.Second)), tasks: make(map[string]*workerTask)}
		d.workers.Add(1)
		go func() {
			defer d.workers.Done()
			w.run(ctx)
		}()
	}
}

func machineName(i int) string { return fmt.Sprintf("vm-%06d", i) }

// Close stops the workers and the servers, and waits for the workers.
func (d *Deployment) Close() {
	if d.stopWorkers != nil {
		d.stopWorkers()
		d.workers.Wait()
	}
	d.State.Close()
	for _, s := range d.servers {
		_ = s.Close() // requests in progress are cut off, so an error is of no interest
	}
}

// serveCloud serves the cloud's API. The cloud has one machine type; all its machines are
// already rented, no more can be rented, and none can be returned.
func (d *Deployment) serveCloud(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/catalog":
		reply(w, d.codec, 200, protocol.Catalog{Types: []protocol.MachineType{{Name: machineType, CPUs: machineCPUs, MemoryGB: 64, CacheGB: 50,
			FetchRate: 10, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{zone}}}})
	case r.URL.Path == "/hosts/release":
		reply(w, d.codec, 503, protocol.ErrorBody{Error: "trouble"})
	case r.Method == http.MethodPost:
		reply(w, d.codec, 503, protocol.ErrorBody{Error: "no capacity"})
	default:
		d.listMachines(w, r)
	}
}

func (d *Deployment) listMachines(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for i := range d.machineCount {
		if name := machineName(i); name > r.URL.Query().Get("from") {
			if len(list.Machines) == pageSize {
				list.More = true
				break
			}
			list.Machines = append(list.Machines, protocol.ListedMachine{ID: name, Addr: "127.0.0.1:1", Type: machineType, Zone: zone, Status: "running", AgeS: 1000})
		}
	}
	reply(w, d.codec, 200, list)
}

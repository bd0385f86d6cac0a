package simtest

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Cloud is the stand-in for the cloud. The machines that it rents out don't boot by
// themselves: a test starts their agents.
type Cloud struct {
	deployment            *Deployment
	Machines              []CloudMachine
	machinesByRequest     map[string][]string // machine names, by the id of the scale-out request
	ScaleOutRequests      []protocol.ScaleOutRequest
	ReleasedMachines      []string
	RejectsScaleOut       bool
	ExtraMachineTypes     []protocol.MachineType // types in addition to m8
	LosesResponses        bool                   // carries out scale-out requests without an answer
	RejectsRelease        bool                   // answers releases with 503
	Unavailable           bool                   // answers all calls with 503
	MaxMachinesPerRequest int                    // machines that one scale-out request gets; 0: all
	ReleaseSizes          []int                  // number of machines in each release
	StaleList             []CloudMachine         // listed in place of Machines, unless nil
	RPS                   float64                // calls per second, beyond which they get 429; 0: no limit
	callBudget            float64                // calls that the limit allows now
	budgetUpdatedAt       time.Duration
	rateLimitedCalls      int // calls answered with 429
	CreatedMachines       int
}

// CloudMachine is a machine that the cloud has rented out. Its Status is "starting",
// "running" or "failed".
type CloudMachine struct {
	Name, Zone, Status string
	CreatedAt          time.Duration // on Deployment.Now
}

// listLag is the time from the creation of a machine until the cloud lists it; list_lag_s of
// SettingsFormat.
const listLag = 6 * time.Second

// defaultMachineType is the machine type that the cloud of every deployment offers.
var defaultMachineType = protocol.MachineType{Name: "m8", CPUs: 8, MemoryGB: 64, CacheGB: 50,
	FetchRate: 1, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"z1", "z2"}}

func (c *Cloud) serve(_, method, path string, body []byte, done func(storage.Response)) {
	answer := func(status int, v any) {
		done(storage.Response{Status: status, Body: c.deployment.Codec.Encode(v)})
	}
	switch {
	case !c.allowCall():
		c.rateLimitedCalls++
		answer(http.StatusTooManyRequests, protocol.ErrorBody{Error: "too many requests"})
	case c.Unavailable:
		answer(http.StatusServiceUnavailable, protocol.ErrorBody{Error: "trouble"})
	case path == "/catalog":
		answer(http.StatusOK, protocol.Catalog{Types: append([]protocol.MachineType{defaultMachineType}, c.ExtraMachineTypes...)})
	case path == "/hosts" && method == "POST":
		c.scaleOut(body, answer, done)
	case path == "/hosts/release" && c.RejectsRelease:
		answer(http.StatusServiceUnavailable, protocol.ErrorBody{Error: "unavailable"})
	case path == "/hosts/release":
		c.release(body)
		answer(http.StatusOK, map[string]any{})
	default:
		answer(http.StatusOK, c.list(path))
	}
}

// scaleOut rents out the machines of a request. A repeated request gets the same machines.
func (c *Cloud) scaleOut(body []byte, answer func(int, any), done func(storage.Response)) {
	var request protocol.ScaleOutRequest
	if err := c.deployment.Codec.Decode(body, &request); err != nil {
		c.deployment.T.Fatal(err)
	}
	c.ScaleOutRequests = append(c.ScaleOutRequests, request)
	if c.RejectsScaleOut {
		answer(http.StatusServiceUnavailable, protocol.ErrorBody{Error: "no capacity"})
		return
	}
	names, ok := c.machinesByRequest[request.RequestID]
	for i := 0; !ok && i < request.Count && (c.MaxMachinesPerRequest == 0 || i < c.MaxMachinesPerRequest); i++ {
		c.CreatedMachines++
		name := fmt.Sprintf("vm-9%05d", c.CreatedMachines)
		names = append(names, name)
		c.Machines = append(c.Machines, CloudMachine{Name: name, Zone: request.Zone, Status: "starting", CreatedAt: c.deployment.now})
	}
	c.machinesByRequest[request.RequestID] = names
	if c.LosesResponses {
		done(storage.Response{})
		return
	}
	answer(http.StatusOK, protocol.MachineNames{Machines: names})
}

// release removes machines and the tasks that run on them.
func (c *Cloud) release(body []byte) {
	var request protocol.MachineNames
	if err := c.deployment.Codec.Decode(body, &request); err != nil {
		c.deployment.T.Fatal(err)
	}
	c.ReleaseSizes = append(c.ReleaseSizes, len(request.Machines))
	for _, name := range request.Machines {
		c.ReleasedMachines = append(c.ReleasedMachines, name)
		if agent := c.deployment.Agents[name]; agent != nil {
			agent.Tasks = nil
			delete(c.deployment.Agents, name)
		}
		for i := range c.Machines {
			if c.Machines[i].Name == name {
				c.Machines = append(c.Machines[:i], c.Machines[i+1:]...)
				break
			}
		}
	}
}

// list returns one page of the list of machines.
func (c *Cloud) list(path string) protocol.MachineList {
	u, err := url.Parse(path)
	if err != nil {
		c.deployment.T.Fatal(err)
	}
	limit, err := strconv.Atoi(u.Query().Get("limit"))
	if err != nil {
		c.deployment.T.Fatal(err)
	}
	lastListed := u.Query().Get("from")
	page := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	listed := c.Machines
	if c.StaleList != nil {
		listed = c.StaleList
	}
	for _, m := range listed {
		if c.deployment.now-m.CreatedAt < listLag || m.Name <= lastListed {
			continue
		}
		if len(page.Machines) == limit {
			page.More = true
			break
		}
		page.Machines = append(page.Machines, protocol.ListedMachine{ID: m.Name, Type: defaultMachineType.Name, Zone: m.Zone, Status: m.Status, AgeS: (c.deployment.now - m.CreatedAt).Seconds()})
	}
	return page
}

// allowCall reports whether the limit of calls per second allows one more, and counts it.
// Bursts may reach the calls of two seconds.
func (c *Cloud) allowCall() bool {
	if c.RPS == 0 {
		return true
	}
	c.callBudget = min(2*c.RPS, c.callBudget+c.RPS*(c.deployment.now-c.budgetUpdatedAt).Seconds())
	c.budgetUpdatedAt = c.deployment.now
	if c.callBudget < 1 {
		return false
	}
	c.callBudget--
	return true
}

package coordination

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// fakeCloud rents machines that never come up by themselves: a test adds
// their workers.
type fakeCloud struct {
	sim              *simulation
	machines         []cloudMachine
	answers          map[string][]string
	scaleOutRequests []protocol.ScaleOutRequest
	released         []string
	refusesScaleOut  bool
	moreTypes        []protocol.MachineType // besides m8
	losesResponses   bool                   // carries requests out but gives no answer
	refusesRelease   bool                   // releases nothing
	maxPerRequest    int                    // machines that one request fills; 0: all
	releaseSizes     []int                  // names in each release
	staleList        []cloudMachine         // listed instead, if not nil
	rps              float64                // calls beyond it are answered 429; 0: none are
	callBudget       float64                // calls that it allows at present
	budgetAt         time.Duration
	rateLimited      int // calls answered 429
	created          int
}

type cloudMachine struct {
	name, zone, status string
	at                 time.Duration
}

func (c *fakeCloud) serve(_, method, path string, body []byte, done func(storage.Response)) {
	answer := func(status int, v any) { done(storage.Response{Status: status, Body: c.sim.codec.Encode(v)}) }
	if !c.allowCall() {
		c.rateLimited++
		answer(429, map[string]any{"error": "too many requests"})
		return
	}
	switch {
	case path == "/catalog":
		answer(200, protocol.Catalog{Types: append([]protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, CacheGB: 50,
			FetchRate: 1, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"z1", "z2"}}}, c.moreTypes...)})
	case path == "/hosts" && method == "POST":
		var q protocol.ScaleOutRequest
		if err := c.sim.codec.Decode(body, &q); err != nil {
			c.sim.t.Fatal(err)
		}
		c.scaleOutRequests = append(c.scaleOutRequests, q)
		if c.refusesScaleOut {
			answer(503, map[string]any{"error": "no capacity"})
			return
		}
		names, ok := c.answers[q.RequestID]
		for i := 0; !ok && i < q.Count && (c.maxPerRequest == 0 || i < c.maxPerRequest); i++ {
			c.created++
			name := fmt.Sprintf("vm-9%05d", c.created)
			names = append(names, name)
			c.machines = append(c.machines, cloudMachine{name, q.Zone, "starting", c.sim.now})
		}
		c.answers[q.RequestID] = names
		if c.losesResponses {
			done(storage.Response{})
			return
		}
		answer(200, protocol.MachineNames{Machines: names})
	case path == "/hosts/release" && c.refusesRelease:
		answer(503, map[string]any{"error": "trouble"})
	case path == "/hosts/release":
		var q protocol.MachineNames
		if err := c.sim.codec.Decode(body, &q); err != nil {
			c.sim.t.Fatal(err)
		}
		c.releaseSizes = append(c.releaseSizes, len(q.Machines))
		for _, n := range q.Machines {
			c.released = append(c.released, n)
			if agent := c.sim.agents[n]; agent != nil {
				agent.tasks = nil
				delete(c.sim.agents, n)
			}
			for i := range c.machines {
				if c.machines[i].name == n {
					c.machines = append(c.machines[:i], c.machines[i+1:]...)
					break
				}
			}
		}
		answer(200, map[string]any{})
	default:
		u, err := url.Parse(path)
		if err != nil {
			c.sim.t.Fatal(err)
		}
		limit, err := strconv.Atoi(u.Query().Get("limit"))
		if err != nil {
			c.sim.t.Fatal(err)
		}
		after := u.Query().Get("from")
		out := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		listed := c.machines
		if c.staleList != nil {
			listed = c.staleList
		}
		for _, m := range listed {
			if c.sim.now-m.at < 6*time.Second {
				continue // lists lag
			}
			if m.name <= after {
				continue
			}
			if len(out.Machines) == limit {
				out.More = true
				break
			}
			out.Machines = append(out.Machines, protocol.ListedMachine{ID: m.name, Type: "m8", Zone: m.zone, Status: m.status, AgeS: (c.sim.now - m.at).Seconds()})
		}
		answer(200, out)
	}
}

// allowCall is the cloud's limit of calls, with bursts of two seconds' worth.
func (c *fakeCloud) allowCall() bool {
	if c.rps == 0 {
		return true
	}
	c.callBudget = min(2*c.rps, c.callBudget+c.rps*(c.sim.now-c.budgetAt).Seconds())
	c.budgetAt = c.sim.now
	if c.callBudget < 1 {
		return false
	}
	c.callBudget--
	return true
}

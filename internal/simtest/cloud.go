package simtest

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// Cloud rents machines that never come up by themselves: a test adds
// their workers.
type Cloud struct {
	deployment       *Deployment
	Machines         []CloudMachine
	answers          map[string][]string
	ScaleOutRequests []protocol.ScaleOutRequest
	Released         []string
	RefusesScaleOut  bool
	MoreTypes        []protocol.MachineType // besides m8
	LosesResponses   bool                   // carries requests out but gives no answer
	RefusesRelease   bool                   // releases nothing
	MaxPerRequest    int                    // machines that one request fills; 0: all
	ReleaseSizes     []int                  // names in each release
	StaleList        []CloudMachine         // listed instead, if not nil
	RPS              float64                // calls beyond it are answered 429; 0: none are
	callBudget       float64                // calls that it allows at present
	budgetAt         time.Duration
	rateLimited      int // calls answered 429
	Created          int
}

// CloudMachine is a machine that it has rented out.
type CloudMachine struct {
	Name, Zone, Status string
	At                 time.Duration
}

func (c *Cloud) serve(_, method, path string, body []byte, done func(storage.Response)) {
	answer := func(status int, v any) { done(storage.Response{Status: status, Body: c.deployment.Codec.Encode(v)}) }
	if !c.allowCall() {
		c.rateLimited++
		answer(429, map[string]any{"error": "too many requests"})
		return
	}
	switch {
	case path == "/catalog":
		answer(200, protocol.Catalog{Types: append([]protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, CacheGB: 50,
			FetchRate: 1, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"z1", "z2"}}}, c.MoreTypes...)})
	case path == "/hosts" && method == "POST":
		var q protocol.ScaleOutRequest
		if err := c.deployment.Codec.Decode(body, &q); err != nil {
			c.deployment.T.Fatal(err)
		}
		c.ScaleOutRequests = append(c.ScaleOutRequests, q)
		if c.RefusesScaleOut {
			answer(503, map[string]any{"error": "no capacity"})
			return
		}
		names, ok := c.answers[q.RequestID]
		for i := 0; !ok && i < q.Count && (c.MaxPerRequest == 0 || i < c.MaxPerRequest); i++ {
			c.Created++
			name := fmt.Sprintf("vm-9%05d", c.Created)
			names = append(names, name)
			c.Machines = append(c.Machines, CloudMachine{name, q.Zone, "starting", c.deployment.now})
		}
		c.answers[q.RequestID] = names
		if c.LosesResponses {
			done(storage.Response{})
			return
		}
		answer(200, protocol.MachineNames{Machines: names})
	case path == "/hosts/release" && c.RefusesRelease:
		answer(503, map[string]any{"error": "trouble"})
	case path == "/hosts/release":
		var q protocol.MachineNames
		if err := c.deployment.Codec.Decode(body, &q); err != nil {
			c.deployment.T.Fatal(err)
		}
		c.ReleaseSizes = append(c.ReleaseSizes, len(q.Machines))
		for _, n := range q.Machines {
			c.Released = append(c.Released, n)
			if agent := c.deployment.Agents[n]; agent != nil {
				agent.Tasks = nil
				delete(c.deployment.Agents, n)
			}
			for i := range c.Machines {
				if c.Machines[i].Name == n {
					c.Machines = append(c.Machines[:i], c.Machines[i+1:]...)
					break
				}
			}
		}
		answer(200, map[string]any{})
	default:
		u, err := url.Parse(path)
		if err != nil {
			c.deployment.T.Fatal(err)
		}
		limit, err := strconv.Atoi(u.Query().Get("limit"))
		if err != nil {
			c.deployment.T.Fatal(err)
		}
		after := u.Query().Get("from")
		out := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		listed := c.Machines
		if c.StaleList != nil {
			listed = c.StaleList
		}
		for _, m := range listed {
			if c.deployment.now-m.At < 6*time.Second {
				continue // lists lag
			}
			if m.Name <= after {
				continue
			}
			if len(out.Machines) == limit {
				out.More = true
				break
			}
			out.Machines = append(out.Machines, protocol.ListedMachine{ID: m.Name, Type: "m8", Zone: m.Zone, Status: m.Status, AgeS: (c.deployment.now - m.At).Seconds()})
		}
		answer(200, out)
	}
}

// allowCall is the cloud's limit of calls, with bursts of two seconds' worth.
func (c *Cloud) allowCall() bool {
	if c.RPS == 0 {
		return true
	}
	c.callBudget = min(2*c.RPS, c.callBudget+c.RPS*(c.deployment.now-c.budgetAt).Seconds())
	c.budgetAt = c.deployment.now
	if c.callBudget < 1 {
		return false
	}
	c.callBudget--
	return true
}

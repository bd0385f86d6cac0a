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
	w        *world
	machines []cloudMachine
	answers  map[string][]string
	requests []protocol.ScaleOutRequest
	released []string
	refuse   bool
	more     []protocol.MachineType // besides m8
	silent   bool                   // carries requests out but gives no answer
	stuck    bool                   // releases nothing
	most     int                    // machines that one request fills; 0: all
	returns  []int                  // names in each release
	older    []cloudMachine         // listed instead, if not nil
	rps      float64                // calls beyond it are answered 429; 0: none are
	level    float64                // calls that it allows at present
	filledAt time.Duration
	limited  int // calls answered 429
	n        int
}

type cloudMachine struct {
	name, zone, status string
	at                 time.Duration
}

func (c *fakeCloud) serve(_, method, path string, body []byte, done func(storage.Response)) {
	answer := func(status int, v any) { done(storage.Response{Status: status, Body: c.w.codec.Encode(v)}) }
	if !c.allows() {
		c.limited++
		answer(429, map[string]any{"error": "too many requests"})
		return
	}
	switch {
	case path == "/catalog":
		answer(200, protocol.Catalog{Types: append([]protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, CacheGB: 50,
			FetchRate: 1, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"z1", "z2"}}}, c.more...)})
	case path == "/hosts" && method == "POST":
		var q protocol.ScaleOutRequest
		if err := c.w.codec.Decode(body, &q); err != nil {
			c.w.t.Fatal(err)
		}
		c.requests = append(c.requests, q)
		if c.refuse {
			answer(503, map[string]any{"error": "no capacity"})
			return
		}
		names, ok := c.answers[q.RequestID]
		for i := 0; !ok && i < q.Count && (c.most == 0 || i < c.most); i++ {
			c.n++
			name := fmt.Sprintf("vm-9%05d", c.n)
			names = append(names, name)
			c.machines = append(c.machines, cloudMachine{name, q.Zone, "starting", c.w.now})
		}
		c.answers[q.RequestID] = names
		if c.silent {
			done(storage.Response{})
			return
		}
		answer(200, protocol.MachineNames{Machines: names})
	case path == "/hosts/release" && c.stuck:
		answer(503, map[string]any{"error": "trouble"})
	case path == "/hosts/release":
		var q protocol.MachineNames
		if err := c.w.codec.Decode(body, &q); err != nil {
			c.w.t.Fatal(err)
		}
		c.returns = append(c.returns, len(q.Machines))
		for _, n := range q.Machines {
			c.released = append(c.released, n)
			if k := c.w.workers[n]; k != nil {
				k.tasks = nil
				delete(c.w.workers, n)
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
			c.w.t.Fatal(err)
		}
		limit, err := strconv.Atoi(u.Query().Get("limit"))
		if err != nil {
			c.w.t.Fatal(err)
		}
		after := u.Query().Get("from")
		out := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		listed := c.machines
		if c.older != nil {
			listed = c.older
		}
		for _, m := range listed {
			if c.w.now-m.at < 6*time.Second {
				continue // lists lag
			}
			if m.name <= after {
				continue
			}
			if len(out.Machines) == limit {
				out.More = true
				break
			}
			out.Machines = append(out.Machines, protocol.ListedMachine{ID: m.name, Type: "m8", Zone: m.zone, Status: m.status, AgeS: (c.w.now - m.at).Seconds()})
		}
		answer(200, out)
	}
}

// allows is the cloud's limit of calls, with bursts of two seconds' worth.
func (c *fakeCloud) allows() bool {
	if c.rps == 0 {
		return true
	}
	c.level = min(2*c.rps, c.level+c.rps*(c.w.now-c.filledAt).Seconds())
	c.filledAt = c.w.now
	if c.level < 1 {
		return false
	}
	c.level--
	return true
}

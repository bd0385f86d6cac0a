package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	catalogEvery   = 60 * time.Second
	catalogLeading = 10 * time.Second
	cloudTimeout   = 4 * time.Second
	cloudRetry     = 1500 * time.Millisecond
	leaderShare    = 0.75 // of the cloud's rate
)

// fleet is what the cloud says. Every node keeps the catalogue, to judge
// submissions; only the leader reads the list and changes the fleet.
type fleet struct {
	c       *Core
	types   map[string]*protocol.MachineType
	asking  bool
	nextAsk time.Duration

	listing  *machineListing // nil: none is under way
	nextList time.Duration
	listed   map[string]listedMachine
	listedAt time.Duration // when the list that is held was asked for

	level float64 // calls that the cloud's rate allows now
	at    time.Duration
}

type listedMachine struct {
	protocol.ListedMachine
	since time.Duration // first listed as running
}

func (f *fleet) init(c *Core) {
	f.c = c
	f.types = make(map[string]*protocol.MachineType)
	f.listed = make(map[string]listedMachine)
	f.level = 1
}

// allow takes one call from this process's share of the cloud's rate: the
// leader has most of it, the others enough for the catalogue.
func (f *fleet) allow(now time.Duration) bool {
	rate := f.c.cfg.Settings.Cloud.RPS
	if f.c.leader != nil {
		rate *= leaderShare
	} else {
		rate *= (1 - leaderShare) / float64(max(1, len(f.c.cfg.Peers)))
	}
	f.level = min(max(1, rate), f.level+rate*(now-f.at).Seconds())
	f.at = now
	if f.level < 1 {
		return false
	}
	f.level--
	return true
}

func (f *fleet) tick(now time.Duration) {
	if !f.asking && now >= f.nextAsk && f.allow(now) {
		f.asking = true
		f.c.env.Cloud.Call("GET", "/catalog", nil, cloudTimeout, func(r storage.Response) {
			f.asking = false
			var cat protocol.Catalog
			if r.Status != 200 || f.c.codec.Decode(r.Body, &cat) != nil || len(cat.Types) == 0 {
				f.nextAsk = f.c.now() + cloudRetry
				return
			}
			f.nextAsk = f.c.now() + catalogEvery
			if f.c.leader != nil {
				f.nextAsk = f.c.now() + catalogLeading
			}
			f.types = make(map[string]*protocol.MachineType, len(cat.Types))
			for i := range cat.Types {
				f.types[cat.Types[i].Name] = &cat.Types[i]
			}
		})
	}
	if f.c.leader != nil {
		f.readList(f.c.leader, now)
	}
}

// take compares a whole list with what is known. Lists lag and may go back in
// time, so a machine that is missing proves nothing.
func (f *fleet) take(l *leader, got []protocol.ListedMachine, began time.Duration) {
	now := f.c.now()
	f.listedAt = began
	fresh := make(map[string]listedMachine, len(got))
	for _, g := range got {
		e := listedMachine{ListedMachine: g, since: now}
		if old, ok := f.listed[g.ID]; ok && old.Status == "running" {
			e.since = old.since
		}
		fresh[g.ID] = e
		m := l.machines.add(g.ID)
		if m == nil {
			continue
		}
		if !m.reported {
			m.variant = variant{g.Type, g.Zone, g.Spot}
		}
		if g.Status == "failed" {
			l.goneForGood(m)
		}
	}
	f.listed = fresh
	l.rent.onList(now)
}

// runningFor is how long a machine has been listed as running.
func (f *fleet) runningFor(name string, now time.Duration) time.Duration {
	e, ok := f.listed[name]
	if !ok || e.Status != "running" {
		return 0
	}
	return now - e.since
}

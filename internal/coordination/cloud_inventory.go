package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	catalogInterval       = 60 * time.Second
	leaderCatalogInterval = 10 * time.Second
	cloudCallTimeout      = 4 * time.Second
	cloudRetryDelay       = 1500 * time.Millisecond
	leaderCallShare       = 0.75 // of the cloud's rate
)

// cloudInventory is what the cloud says. Every node keeps the catalogue, to judge
// submissions; only the leader reads the list and changes the fleet.
type cloudInventory struct {
	c               *Controller
	types           map[string]*protocol.MachineType
	catalogInFlight bool
	nextCatalog     time.Duration

	listing  *machineListing // nil: none is under way
	nextList time.Duration
	listed   map[string]listedMachine
	listedAt time.Duration // when the list that is held was asked for

	callTokens float64 // calls that the cloud's rate allows now
	refilledAt time.Duration
}

type listedMachine struct {
	protocol.ListedMachine
	since time.Duration // first listed as running
}

func (f *cloudInventory) init(c *Controller) {
	f.c = c
	f.types = make(map[string]*protocol.MachineType)
	f.listed = make(map[string]listedMachine)
	f.callTokens = 1
}

// allowCall takes one call from this process's share of the cloud's rate: the
// leader has most of it, the others enough for the catalogue.
func (f *cloudInventory) allowCall(now time.Duration) bool {
	rate := f.c.cfg.Settings.Cloud.RPS
	if f.c.leader != nil {
		rate *= leaderCallShare
	} else {
		rate *= (1 - leaderCallShare) / float64(max(1, len(f.c.cfg.Peers)))
	}
	f.callTokens = min(max(1, rate), f.callTokens+rate*(now-f.refilledAt).Seconds())
	f.refilledAt = now
	if f.callTokens < 1 {
		return false
	}
	f.callTokens--
	return true
}

func (f *cloudInventory) tick(now time.Duration) {
	if !f.catalogInFlight && now >= f.nextCatalog && f.allowCall(now) {
		f.catalogInFlight = true
		f.c.env.Cloud.Call("GET", "/catalog", nil, cloudCallTimeout, func(r storage.Response) {
			f.catalogInFlight = false
			var catalog protocol.Catalog
			if r.Status != 200 || f.c.codec.Decode(r.Body, &catalog) != nil || len(catalog.Types) == 0 {
				f.nextCatalog = f.c.now() + cloudRetryDelay
				return
			}
			f.nextCatalog = f.c.now() + catalogInterval
			if f.c.leader != nil {
				f.nextCatalog = f.c.now() + leaderCatalogInterval
			}
			f.types = make(map[string]*protocol.MachineType, len(catalog.Types))
			for i := range catalog.Types {
				f.types[catalog.Types[i].Name] = &catalog.Types[i]
			}
		})
	}
	if f.c.leader != nil {
		f.pollList(f.c.leader, now)
	}
}

// applyList compares a whole list with what is known. Lists lag and may go back in
// time, so a machine that is missing proves nothing.
func (f *cloudInventory) applyList(l *leader, got []protocol.ListedMachine, began time.Duration) {
	now := f.c.now()
	f.listedAt = began
	fresh := make(map[string]listedMachine, len(got))
	for _, listed := range got {
		entry := listedMachine{ListedMachine: listed, since: now}
		if old, ok := f.listed[listed.ID]; ok && old.Status == "running" {
			entry.since = old.since
		}
		fresh[listed.ID] = entry
		m := l.machines.add(listed.ID)
		if m == nil {
			continue
		}
		if !m.heartbeatSeen {
			m.machineKind = machineKind{listed.Type, listed.Zone, listed.Spot}
		}
		if listed.Status == "failed" {
			l.markTerminated(m)
		}
	}
	f.listed = fresh
	l.autoscaler.onMachineList(now)
}

// runningFor is how long a machine has been listed as running.
func (f *cloudInventory) runningFor(name string, now time.Duration) time.Duration {
	entry, ok := f.listed[name]
	if !ok || entry.Status != "running" {
		return 0
	}
	return now - entry.since
}

package cloud

import (
	"iter"
	"maps"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	machinesPerPage = 500 // the most that the cloud gives in one answer
	maxPageFailures = 5   // in a row, after which a listing begins anew
	listCallShare   = 0.5 // of the leader's rate, that the pages of a long list may use
	minListInterval = 2 * time.Second
	listsPerLag     = 3 // lists that are read in the time by which lists lag
)

// Status is what the cloud's list says of a machine.
const (
	StatusRunning = "running"
	StatusFailed  = "failed"
)

// ListedMachine is a row of the machine list.
type ListedMachine struct {
	protocol.ListedMachine
	runningSince time.Duration // first listed as running
}

// listing is one pass through the cloud's machine list, page by page. Thousands
// of machines take more pages than the cloud answers in a burst, so pages are
// spaced, and one that is refused is asked for again.
type listing struct {
	observer    ListObserver // that it is read for
	startedAt   time.Duration
	nextPageAt  time.Duration
	lastMachine string // the last machine that was read
	machines    []protocol.ListedMachine
	inFlight    bool
	failures    int // in a row
}

// Listed returns what the list says of a machine.
func (i *Inventory) Listed(name string) (ListedMachine, bool) {
	entry, ok := i.listed[name]
	return entry, ok
}

// AllListed yields the list by the machines' names, in no order.
func (i *Inventory) AllListed() iter.Seq2[string, ListedMachine] { return maps.All(i.listed) }

// ListedAt is when the list that is held was asked for; 0: none was read yet.
func (i *Inventory) ListedAt() time.Duration { return i.listedAt }

// RunningFor is how long a machine has been listed as running; 0 if it is not.
func (i *Inventory) RunningFor(name string, now time.Duration) time.Duration {
	entry, ok := i.listed[name]
	if !ok || entry.Status != StatusRunning {
		return 0
	}
	return now - entry.runningSince
}

// pollList asks for the next page of the machine list when it is due.
func (i *Inventory) pollList(now time.Duration) {
	if i.listing != nil && i.listing.observer != i.observer {
		i.listing = nil // a page that still comes is not used
	}
	if i.listing == nil {
		if now < i.nextListAt {
			return
		}
		i.listing = &listing{observer: i.observer, startedAt: now}
	}
	l := i.listing
	if l.inFlight || now < l.nextPageAt || !i.AllowCall(now) {
		return
	}
	l.inFlight = true
	l.nextPageAt = now + i.pageInterval()
	i.config.API.Call("GET", l.path(), nil, CallTimeout, func(r storage.Response) {
		if i.listing == l {
			i.handlePage(l, r)
		}
	})
}

// pageInterval keeps the pages of a long list from taking the calls that request
// and terminate machines.
func (i *Inventory) pageInterval() time.Duration {
	return seconds(1 / (i.config.Settings.RPS * leaderCallShare * listCallShare))
}

func (l *listing) path() string {
	path := "/hosts?limit=" + strconv.Itoa(machinesPerPage)
	if l.lastMachine != "" {
		path += "&from=" + l.lastMachine
	}
	return path
}

func (i *Inventory) handlePage(l *listing, r storage.Response) {
	now := i.config.Clock.Now()
	l.inFlight = false
	var page protocol.MachineList
	if r.Status != statusOK || i.config.Codec.Decode(r.Body, &page) != nil {
		i.handlePageFailure(l, now)
		return
	}
	l.failures = 0
	l.machines = append(l.machines, page.Machines...)
	if page.More && len(page.Machines) > 0 && len(l.machines) < i.config.MaxMachines {
		l.lastMachine = page.Machines[len(page.Machines)-1].ID
		return
	}
	i.listing = nil
	i.nextListAt = now + max(minListInterval, seconds(i.config.Settings.ListLagS/listsPerLag))
	i.replaceList(l, now)
	l.observer.MachinesListed(l.machines, now)
}

func (i *Inventory) handlePageFailure(l *listing, now time.Duration) {
	l.failures++
	l.nextPageAt = max(l.nextPageAt, now+RetryDelay)
	if l.failures >= maxPageFailures {
		i.listing, i.nextListAt = nil, now+RetryDelay
	}
}

// replaceList holds a list that was read whole in place of the last one.
func (i *Inventory) replaceList(l *listing, now time.Duration) {
	fresh := make(map[string]ListedMachine, len(l.machines))
	for _, machine := range l.machines {
		entry := ListedMachine{ListedMachine: machine, runningSince: now}
		if last, ok := i.listed[machine.ID]; ok && last.Status == StatusRunning {
			entry.runningSince = last.runningSince
		}
		fresh[machine.ID] = entry
	}
	i.listed, i.listedAt = fresh, l.startedAt
}

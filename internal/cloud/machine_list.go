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
	machinesPerPage = 500 // the maximum that the cloud returns
	maxPageFailures = 5   // consecutive failures after which a listing is started again
	listCallShare   = 0.5 // of the leader's call rate, for the pages of a list
	minListInterval = 2 * time.Second
	listsPerLag     = 3 // lists read within Settings.ListLagS
)

// Statuses of a machine in the cloud's list. It contains others too, which are not distinguished.
const (
	StatusRunning = "running"
	StatusFailed  = "failed"
)

// ListedMachine is a machine in the cloud's machine list.
type ListedMachine struct {
	protocol.ListedMachine
	runningSince time.Duration // when it was first listed as running
}

// listing is a read of the cloud's machine list in progress, page by page. A list of thousands of
// machines has more pages than the cloud accepts requests for in a burst, so the requests are
// spaced, and one that is rejected is retried.
type listing struct {
	observer    ListObserver // receives the list
	startedAt   time.Duration
	nextPageAt  time.Duration
	lastMachine string // name of the last machine read, after which the next page starts
	machines    []protocol.ListedMachine
	inFlight    bool
	failures    int // consecutive
}

// Listed returns a machine's entry in the list, if it has one.
func (i *Inventory) Listed(name string) (ListedMachine, bool) {
	entry, ok := i.listed[name]
	return entry, ok
}

// AllListed yields the machines of the list by name, in no particular order.
func (i *Inventory) AllListed() iter.Seq2[string, ListedMachine] { return maps.All(i.listed) }

// ListedAt returns the time on Config.Clock at which the read of the current list started; 0: no
// list was read yet.
func (i *Inventory) ListedAt() time.Duration { return i.listedAt }

// RunningFor returns how long a machine has been listed as running; 0 if it is not listed so.
func (i *Inventory) RunningFor(name string, now time.Duration) time.Duration {
	entry, ok := i.listed[name]
	if !ok || entry.Status != StatusRunning {
		return 0
	}
	return now - entry.runningSince
}

// pollList requests the next page of the machine list if it is due.
func (i *Inventory) pollList(now time.Duration) {
	if i.listing != nil && i.listing.observer != i.observer {
		i.listing = nil // a page that is still in flight is dropped
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

// pageInterval returns the time between requests of pages, which leaves calls for requesting and
// releasing machines during the read of a long list.
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

// replaceList replaces the list by one that was read completely.
func (i *Inventory) replaceList(l *listing, now time.Duration) {
	newList := make(map[string]ListedMachine, len(l.machines))
	for _, machine := range l.machines {
		entry := ListedMachine{ListedMachine: machine, runningSince: now}
		if last, ok := i.listed[machine.ID]; ok && last.Status == StatusRunning {
			entry.runningSince = last.runningSince
		}
		newList[machine.ID] = entry
	}
	i.listed, i.listedAt = newList, l.startedAt
}

package coordination

import (
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
)

// machineListing is one pass through the cloud's machine list, page by page.
// Thousands of machines take more pages than the cloud answers in a burst, so
// pages are spaced, and one that is refused is asked for again.
type machineListing struct {
	leader   *leader
	began    time.Duration
	nextPage time.Duration
	after    string // the last machine that was read
	machines []protocol.ListedMachine
	inFlight bool
	failures int // in a row
}

// pollList asks for the next page of the machine list when it is due.
func (f *cloudInventory) pollList(l *leader, now time.Duration) {
	if f.listing != nil && f.listing.leader != l {
		f.listing = nil // an answer that still comes belongs to nobody
	}
	if f.listing == nil {
		if now < f.nextList {
			return
		}
		f.listing = &machineListing{leader: l, began: now}
	}
	p := f.listing
	if p.inFlight || now < p.nextPage || !f.allowCall(now) {
		return
	}
	p.inFlight = true
	p.nextPage = now + f.pageInterval()
	f.c.env.Cloud.Call("GET", p.path(), nil, cloudCallTimeout, func(r storage.Response) {
		if f.listing == p {
			f.onPage(p, r)
		}
	})
}

// pageInterval keeps the pages of a long list from taking the calls that rent
// and return machines.
func (f *cloudInventory) pageInterval() time.Duration {
	return seconds(1 / (f.c.cfg.Settings.Cloud.RPS * leaderCallShare * listCallShare))
}

func (p *machineListing) path() string {
	path := "/hosts?limit=" + strconv.Itoa(machinesPerPage)
	if p.after != "" {
		path += "&from=" + p.after
	}
	return path
}

func (f *cloudInventory) onPage(p *machineListing, r storage.Response) {
	now := f.c.now()
	p.inFlight = false
	var page protocol.MachineList
	if r.Status != 200 || f.c.codec.Decode(r.Body, &page) != nil {
		p.failures++
		p.nextPage = max(p.nextPage, now+cloudRetryDelay)
		if p.failures >= maxPageFailures {
			f.listing, f.nextList = nil, now+cloudRetryDelay
		}
		return
	}
	p.failures = 0
	p.machines = append(p.machines, page.Machines...)
	if page.More && len(page.Machines) > 0 && len(p.machines) < maxMachines {
		p.after = page.Machines[len(page.Machines)-1].ID
		return
	}
	f.listing = nil
	f.nextList = now + max(minListInterval, seconds(f.c.cfg.Settings.Cloud.ListLagS/3))
	f.applyList(p.leader, p.machines, p.began)
}

package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// offer is room offered to one owner for one answer.
type offer struct {
	id       uint64
	response *pendingResponse
	link     Link
	owner    *peer
	items    []offerItem
}

type offerItem struct {
	job   *trackedJob
	count int
}

// makeOffers offers a machine's free room to the owners of waiting tasks, one
// task after another to whatever is served first.
func (l *leader) makeOffers(m *machine, a *pendingResponse, now time.Duration) {
	if !l.schedulable(m, now) {
		return
	}
	l.warmPool.claimMachine(m, now)
	l.rebuildPendingQueue(now)
	k := l.pendingQueue.byKind[m.machineKind]
	free := m.free
	if k == nil || k.jobCount == 0 || free.cpus < k.smallestTask.cpus || free.memory < k.smallestTask.memory {
		return
	}
	m.offeringFor = a
	defer func() { m.offeringFor = nil }()
	queues := l.candidateQueues(m, k)
	heads := make([]*trackedJob, len(queues))
	for i, q := range queues {
		heads[i] = q.head(l, m, free, now)
	}
	for range l.c.tuning.StartsPerResponse {
		best := -1
		for i, j := range heads {
			if j != nil && (best < 0 || j.servedBefore(heads[best])) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		j := heads[best]
		free.subtract(j.spec)
		if m.spot {
			j.image.spotFree.subtract(j.spec)
		}
		l.addToOffer(a, j)
		for i, q := range queues {
			if heads[i] != nil && !l.placement.canOffer(heads[i], m, free, now) {
				heads[i] = q.head(l, m, free, now)
			}
		}
	}
	for _, o := range a.openOffers {
		l.offers[o.id] = o
		f := &meshpb.Offer{Id: o.id, MachineIndex: m.index, Epoch: a.epoch, Seq: a.sequence}
		for _, it := range o.items {
			f.Items = append(f.Items, &meshpb.OfferItem{Job: it.job.id, Count: uint32(it.count)})
		}
		o.owner.send(&meshpb.Frame{Body: &meshpb.Frame_Offer{Offer: f}})
	}
}

// servedBefore tells whether a job is served before another.
func (j *trackedJob) servedBefore(o *trackedJob) bool {
	if j.orderKey == o.orderKey && j.team == o.team {
		return j.id < o.id
	}
	return j.orderKey.Before(j.team.dominantShare(), o.orderKey, o.team.dominantShare())
}

// addToOffer offers room for one more task of a job.
func (l *leader) addToOffer(a *pendingResponse, j *trackedJob) {
	j.offered++
	l.usage.update(j)
	if j.orderKey.Overdue {
		// Once a task of it is on offer it is served in its turn.
		j.overdueStarts++
		j.orderKey = l.orderKeyOf(&trackedJob{spec: j.spec, priority: j.priority, started: true}, l.c.env.Wall().UnixMilli())
	}
	for _, o := range a.openOffers {
		if o.link == j.shard.link {
			for i := range o.items {
				if o.items[i].job == j {
					o.items[i].count++
					return
				}
			}
			o.items = append(o.items, offerItem{j, 1})
			return
		}
	}
	l.lastOfferID++
	a.openOffers = append(a.openOffers, &offer{id: l.lastOfferID, response: a, link: j.shard.link, owner: j.shard.owner, items: []offerItem{{j, 1}}})
}

func (l *leader) closeOffer(o *offer) {
	delete(l.offers, o.id)
	for _, it := range o.items {
		it.job.offered -= it.count
		l.usage.update(it.job)
	}
}

// closeOffers ends all offers of an answer.
func (l *leader) closeOffers(a *pendingResponse) {
	for _, o := range a.openOffers {
		l.closeOffer(o)
	}
	a.openOffers = nil
}

// removeOffer takes an offer out of its answer.
func (a *pendingResponse) removeOffer(o *offer) {
	for i, x := range a.openOffers {
		if x == o {
			a.openOffers = append(a.openOffers[:i], a.openOffers[i+1:]...)
			return
		}
	}
}

// onBindings takes an owner's answer to an offer.
func (l *leader) onBindings(p *peer, f *meshpb.Bindings) {
	o := l.offers[f.OfferId]
	if o == nil || o.link != p.link {
		// Too late: the answer has gone out without them.
		sendReturnedBindings(p, f.Bindings)
		return
	}
	l.closeOffer(o)
	for _, d := range f.Jobs {
		if j := l.jobs[d.Job]; j != nil && j.shard != nil && j.shard.owner == p && !j.ended {
			l.setCounts(j, d)
		}
	}
	a := o.response
	for _, k := range f.Bindings {
		j := l.jobs[k.Job]
		if j == nil || j.shard == nil || j.shard.owner != p {
			continue // its owner was replaced, the new one knows nothing of it
		}
		a.bindings = append(a.bindings, shardBinding{j.shard, k})
	}
	a.removeOffer(o)
	if len(a.openOffers) == 0 {
		l.sendResponse(a)
	}
}

// rescindOffers withdraws the offers and unsent picks of a ledger whose owner
// is being replaced: what it picked but was not sent yet never will be.
func (l *leader) rescindOffers(g *shardState) {
	for _, a := range l.pendingResponses {
		if a.finished {
			continue
		}
		kept := a.bindings[:0]
		for _, p := range a.bindings {
			if p.shard != g {
				kept = append(kept, p)
			}
		}
		a.bindings = kept
		for i := 0; i < len(a.openOffers); {
			if o := a.openOffers[i]; o.link == g.link && g.link != nil {
				l.closeOffer(o)
				a.removeOffer(o)
				continue
			}
			i++
		}
		if len(a.openOffers) == 0 {
			l.sendResponse(a)
		}
	}
}

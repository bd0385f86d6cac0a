package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

const (
	keptFor    = 3 * time.Minute // how long a type stays reserved for the jobs that need it
	sickErrors = 3
	failsOn    = 3 // machines on which a job fails before the mistake is taken for its own
)

// offer is room offered to one owner for one answer.
type offer struct {
	id    uint64
	ans   *answer
	link  Link
	to    *peer
	items []offerItem
}

type offerItem struct {
	job *leaderJob
	n   int
}

// failsHere tells whether a job has failed on a machine and should rather be
// tried on others, of which there are enough.
func (l *leader) failsHere(j *leaderJob, m *machine) bool {
	return j.errorsOn[m.name] && !j.failsAnywhere(l.rent.there)
}

// keptForOthers tells whether machines of a type are kept for jobs that can
// run nowhere else, while this job can. Replicas of services are few and stay on
// machines that were rented for them, whatever their type.
func (l *leader) keptForOthers(j *leaderJob, typ string) bool {
	return !j.spec.Service && j.only != typ && l.rent.scarce(typ, l.c.now())
}

// offerable tells whether a task of a job may be offered a machine's room.
func (l *leader) offerable(j *leaderJob, m *machine, free room) bool {
	if j.unserved() == 0 || !free.fits(j.spec) || l.failsHere(j, m) || !l.withinLimit(j) {
		return false
	}
	if (m.heldFor != nil && m.heldFor != j) || (m.standby && !j.spec.Service) || l.crowded(j, m) || l.standby.hasImage(j, m, l.c.now()) {
		return false
	}
	if !m.spot && m.empty() && j.prio < protocol.PriorityUrgent && j.image.holds(j) {
		return false // cheaper machines that have the image have room for all of it
	}
	return m.has(j.image) || l.worthFetching(j, m)
}

// holds tells whether spot machines that have an image have room for all of a
// job's waiting tasks, so that an empty ordinary machine can go back.
func (im *image) holds(j *leaderJob) bool {
	n := float64(j.unserved())
	return n*j.spec.Cpus <= im.spare.cpus && n*j.spec.Gpus <= im.spare.gpus && n*j.spec.MemoryGb <= im.spare.memory
}

// makeOffers offers a machine's free room to the owners of waiting tasks, one
// task after another to whatever is served first.
func (l *leader) makeOffers(m *machine, a *answer, now time.Duration) {
	if !l.usable(m, now) {
		return
	}
	l.standby.claim(m, now)
	l.arrange(now)
	k := l.demand.kinds[m.variant]
	free := m.free
	if k == nil || k.jobs == 0 || free.cpus < k.least.cpus || free.memory < k.least.memory {
		return
	}
	m.offering = a
	defer func() { m.offering = nil }()
	queues := l.candidates(m, k)
	heads := make([]*leaderJob, len(queues))
	for i, q := range queues {
		heads[i] = q.first(l, m, free)
	}
	for range l.c.tune.StartsPerResponse {
		best := -1
		for i, j := range heads {
			if j != nil && (best < 0 || j.before(heads[best])) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		j := heads[best]
		free.take(j.spec)
		if m.spot {
			j.image.spare.take(j.spec)
		}
		l.addToOffer(a, j)
		for i, q := range queues {
			if heads[i] != nil && !l.offerable(heads[i], m, free) {
				heads[i] = q.first(l, m, free)
			}
		}
	}
	for _, o := range a.open {
		l.offers[o.id] = o
		f := &meshpb.Offer{Id: o.id, MachineIndex: m.index, Epoch: a.session, Seq: a.seq}
		for _, it := range o.items {
			f.Items = append(f.Items, &meshpb.OfferItem{Job: it.job.id, Count: uint32(it.n)})
		}
		o.to.send(&meshpb.Frame{Body: &meshpb.Frame_Offer{Offer: f}})
	}
}

// before tells whether a job is served before another.
func (j *leaderJob) before(o *leaderJob) bool {
	if j.rank == o.rank && j.team == o.team {
		return j.id < o.id
	}
	return j.rank.before(j.team.share(), o.rank, o.team.share())
}

// addToOffer offers room for one more task of a job.
func (l *leader) addToOffer(a *answer, j *leaderJob) {
	j.offered++
	l.recount(j)
	if j.rank.overdue {
		// Once a task of it is on offer it is served in its turn.
		j.owed++
		j.rank = l.rankOf(&leaderJob{spec: j.spec, prio: j.prio, begun: true}, l.c.env.Wall().UnixMilli())
	}
	for _, o := range a.open {
		if o.link == j.ledger.link {
			for i := range o.items {
				if o.items[i].job == j {
					o.items[i].n++
					return
				}
			}
			o.items = append(o.items, offerItem{j, 1})
			return
		}
	}
	l.offerSeq++
	a.open = append(a.open, &offer{id: l.offerSeq, ans: a, link: j.ledger.link, to: j.ledger.from, items: []offerItem{{j, 1}}})
}

func (l *leader) closeOffer(o *offer) {
	delete(l.offers, o.id)
	for _, it := range o.items {
		it.job.offered -= it.n
		l.recount(it.job)
	}
}

// closeOffers ends all offers of an answer.
func (l *leader) closeOffers(a *answer) {
	for _, o := range a.open {
		l.closeOffer(o)
	}
	a.open = nil
}

// remove takes an offer out of its answer.
func (a *answer) remove(o *offer) {
	for i, x := range a.open {
		if x == o {
			a.open = append(a.open[:i], a.open[i+1:]...)
			return
		}
	}
}

// onPicks takes an owner's answer to an offer.
func (l *leader) onPicks(p *peer, f *meshpb.Bindings) {
	o := l.offers[f.OfferId]
	if o == nil || o.link != p.link {
		// Too late: the answer has gone out without them.
		l.unplace(p, f.Bindings)
		return
	}
	l.closeOffer(o)
	for _, d := range f.Jobs {
		if j := l.jobs[d.Job]; j != nil && j.ledger != nil && j.ledger.from == p && !j.closed {
			l.setNumbers(j, d)
		}
	}
	a := o.ans
	for _, k := range f.Bindings {
		j := l.jobs[k.Job]
		if j == nil || j.ledger == nil || j.ledger.from != p {
			continue // its owner was replaced, the new one knows nothing of it
		}
		a.picks = append(a.picks, pickFrom{j.ledger, k})
	}
	a.remove(o)
	if len(a.open) == 0 {
		l.finish(a)
	}
}

// cancelOffers withdraws the offers and unsent picks of a ledger whose owner
// is being replaced: what it picked but was not sent yet never will be.
func (l *leader) cancelOffers(g *leaderLedger) {
	for _, a := range l.answers {
		if a.over {
			continue
		}
		kept := a.picks[:0]
		for _, p := range a.picks {
			if p.from != g {
				kept = append(kept, p)
			}
		}
		a.picks = kept
		for i := 0; i < len(a.open); {
			if o := a.open[i]; o.link == g.link && g.link != nil {
				l.closeOffer(o)
				a.remove(o)
				continue
			}
			i++
		}
		if len(a.open) == 0 {
			l.finish(a)
		}
	}
}

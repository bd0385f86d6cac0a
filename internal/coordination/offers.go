package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// offer is resources of a machine that one owner may bind tasks to, for one
// heartbeat response.
type offer struct {
	id       uint64
	response *pendingResponse
	link     Link
	owner    *peer
	items    []offerItem
}

// offerItem is for how many tasks of a job the resources are meant.
type offerItem struct {
	job   *trackedJob
	count int
}

// offerTable holds the offers that wait for their owners' bindings. What is offered
// counts as used by the jobs' teams until its offer is closed.
type offerTable struct {
	updateUsage func(*trackedJob)

	byID   map[uint64]*offer // those that were sent
	lastID uint64
}

// add offers resources for one more task of a job.
func (b *offerTable) add(response *pendingResponse, job *trackedJob) {
	job.offered++
	b.updateUsage(job)
	for _, o := range response.openOffers {
		if o.link == job.shard.link {
			o.add(job)
			return
		}
	}
	b.lastID++
	response.openOffers = append(response.openOffers, &offer{
		id:       b.lastID,
		response: response,
		link:     job.shard.link,
		owner:    job.shard.owner,
		items:    []offerItem{{job, 1}},
	})
}

func (o *offer) add(job *trackedJob) {
	for i := range o.items {
		if o.items[i].job == job {
			o.items[i].count++
			return
		}
	}
	o.items = append(o.items, offerItem{job, 1})
}

// send sends a response's offers to their owners.
func (b *offerTable) send(response *pendingResponse) {
	for _, o := range response.openOffers {
		b.byID[o.id] = o
		o.owner.send(&meshpb.Frame{Body: &meshpb.Frame_Offer{Offer: o.message()}})
	}
}

func (o *offer) message() *meshpb.Offer {
	message := &meshpb.Offer{Id: o.id, MachineIndex: o.response.machine.index, Epoch: o.response.epoch, Seq: o.response.sequence}
	for _, item := range o.items {
		message.Items = append(message.Items, &meshpb.OfferItem{Job: item.job.id, Count: uint32(item.count)})
	}
	return message
}

// find returns the offer of an ID that waits for the bindings of a member; nil if
// it was closed.
func (b *offerTable) find(id uint64, p *peer) *offer {
	if o := b.byID[id]; o != nil && o.link == p.link {
		return o
	}
	return nil
}

// close ends an offer: its resources are offered no more.
func (b *offerTable) close(o *offer) {
	delete(b.byID, o.id)
	for _, item := range o.items {
		item.job.offered -= item.count
		b.updateUsage(item.job)
	}
}

// closeAll ends all offers for a response.
func (b *offerTable) closeAll(response *pendingResponse) {
	for _, o := range response.openOffers {
		b.close(o)
	}
	response.openOffers = nil
}

// closeForLink ends the offers for a response that went to a link.
func (b *offerTable) closeForLink(response *pendingResponse, link Link) {
	if link == nil {
		return
	}
	for i := 0; i < len(response.openOffers); {
		o := response.openOffers[i]
		if o.link != link {
			i++
			continue
		}
		b.close(o)
		response.removeOffer(o)
	}
}

// removeOffer takes an offer out of its response.
func (r *pendingResponse) removeOffer(o *offer) {
	for i, other := range r.openOffers {
		if other == o {
			r.openOffers = append(r.openOffers[:i], r.openOffers[i+1:]...)
			return
		}
	}
}

// handleBindings takes an owner's bindings. Those for an offer that was closed are
// returned: its response has gone out without them.
func (l *leader) handleBindings(p *peer, f *meshpb.Bindings) {
	o := l.scheduler.offers.find(f.OfferId, p)
	if o == nil {
		sendReturnedBindings(p, f.Bindings)
		return
	}
	l.scheduler.offers.close(o)
	for _, summary := range f.Jobs {
		if job := l.jobs.get(summary.Job); job.ownedBy(p) && !job.ended {
			l.jobs.setCounts(job, summary)
		}
	}
	response := o.response
	for _, binding := range f.Bindings {
		// The present owner of a job knows nothing of what an earlier one bound.
		if job := l.jobs.get(binding.Job); job.ownedBy(p) {
			response.bindings = append(response.bindings, shardBinding{job.shard, binding})
		}
	}
	response.removeOffer(o)
	if len(response.openOffers) == 0 {
		l.sendResponse(response)
	}
}

// ownedBy tells whether a job is known and a member owns it.
func (j *trackedJob) ownedBy(p *peer) bool {
	return j != nil && j.shard != nil && j.shard.owner == p
}

// withdrawOffers withdraws the offers and unsent bindings of a shard whose owner is
// being replaced: what it bound and was not sent yet never will be.
func (l *leader) withdrawOffers(shard *shardState) {
	for _, response := range l.pendingResponses {
		if response.finished {
			continue
		}
		response.dropBindings(shard)
		l.scheduler.offers.closeForLink(response, shard.link)
		if len(response.openOffers) == 0 {
			l.sendResponse(response)
		}
	}
}

// dropBindings drops the bindings of a shard's tasks.
func (r *pendingResponse) dropBindings(shard *shardState) {
	kept := r.bindings[:0]
	for _, binding := range r.bindings {
		if binding.shard != shard {
			kept = append(kept, binding)
		}
	}
	r.bindings = kept
}

package coordination

import (
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// offer is a set of resources of one machine to which one owner may bind tasks, for
// one heartbeat response.
type offer struct {
	id       uint64
	response *pendingResponse
	link     Link
	owner    *peer
	items    []offerItem
}

// offerItem states how many tasks of a job the resources are offered to.
type offerItem struct {
	job   *trackedJob
	count int
}

// offerTable holds the offers that wait for their owners' bindings. Offered resources
// count as used by the jobs' teams until the offer is closed.
type offerTable struct {
	updateUsage func(*trackedJob)

	byID   map[uint64]*offer // sent and not closed
	lastID uint64
}

// add adds one task of a job to the offers that belong to a response.
func (t *offerTable) add(response *pendingResponse, job *trackedJob) {
	job.offered++
	t.updateUsage(job)
	for _, o := range response.openOffers {
		if o.link == job.shard.link {
			o.add(job)
			return
		}
	}
	t.lastID++
	response.openOffers = append(response.openOffers, &offer{
		id:       t.lastID,
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
func (t *offerTable) send(response *pendingResponse) {
	for _, o := range response.openOffers {
		t.byID[o.id] = o
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

// find returns the offer with an ID that waits for bindings from a peer, or nil if it
// was closed.
func (t *offerTable) find(id uint64, p *peer) *offer {
	if o := t.byID[id]; o != nil && o.link == p.link {
		return o
	}
	return nil
}

// close removes an offer: its resources no longer count as offered.
func (t *offerTable) close(o *offer) {
	delete(t.byID, o.id)
	for _, item := range o.items {
		item.job.offered -= item.count
		t.updateUsage(item.job)
	}
}

// closeAll closes all offers for a response.
func (t *offerTable) closeAll(response *pendingResponse) {
	for _, o := range response.openOffers {
		t.close(o)
	}
	response.openOffers = nil
}

// closeForLink closes the offers for a response that were sent on a link.
func (t *offerTable) closeForLink(response *pendingResponse, link Link) {
	if link == nil {
		return
	}
	for i := 0; i < len(response.openOffers); {
		o := response.openOffers[i]
		if o.link != link {
			i++
			continue
		}
		t.close(o)
		response.removeOffer(o)
	}
}

// removeOffer removes an offer from its response.
func (r *pendingResponse) removeOffer(o *offer) {
	for i, other := range r.openOffers {
		if other == o {
			r.openOffers = append(r.openOffers[:i], r.openOffers[i+1:]...)
			return
		}
	}
}

// handleBindings handles an owner's bindings. Bindings for a closed offer are returned,
// because its response was sent without them.
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
		// The current owner of a job does not know what an earlier owner bound.
		if job := l.jobs.get(binding.Job); job.ownedBy(p) {
			response.bindings = append(response.bindings, shardBinding{job.shard, binding})
		}
	}
	response.removeOffer(o)
	if len(response.openOffers) == 0 {
		l.sendResponse(response)
	}
}

// ownedBy reports whether a job is known and a peer owns its shard.
func (j *trackedJob) ownedBy(p *peer) bool {
	return j != nil && j.shard != nil && j.shard.owner == p
}

// withdrawOffers withdraws the offers and unsent bindings of a shard whose owner is
// being replaced: bindings of the old owner that were not sent yet are never sent.
func (l *leader) withdrawOffers(shard *shardState) {
	for _, response := range l.pendingResponses {
		if response.closed {
			continue
		}
		response.dropBindings(shard)
		l.scheduler.offers.closeForLink(response, shard.link)
		if len(response.openOffers) == 0 && !response.unjudged {
			l.sendResponse(response)
		}
	}
}

// dropBindings removes the bindings of a shard's tasks.
func (r *pendingResponse) dropBindings(shard *shardState) {
	kept := r.bindings[:0]
	for _, binding := range r.bindings {
		if binding.shard != shard {
			kept = append(kept, binding)
		}
	}
	r.bindings = kept
}

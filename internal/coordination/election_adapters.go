package coordination

import (
	"iter"

	"github.com/cobaltvale/cobaltvale/internal/election"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/shard"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// newElection returns the election of a controller. The controller's other components
// must exist already.
func newElection(c *Controller) *election.Election {
	peers := make([]election.Peer, 0, len(c.peers))
	for _, p := range c.peers {
		peers = append(peers, p)
	}
	return election.New(election.Config{
		Identity:  c.identity,
		StartedAt: c.startedAt,
		LeaseTTL:  c.tuning.StateLease,
	}, election.Environment{
		Clock:         c.env.Clock,
		Rand:          c.env.Rand,
		Codec:         c.codec,
		Log:           c.log,
		State:         c.store,
		Peers:         peers,
		Shards:        electionShards{c.owner},
		Registrations: electionRegistrations{c},
		Observer:      electionObserver{c},
	})
}

// electionShards implements election.Shards with the shards that this process holds.
type electionShards struct{ owner *shard.Owner }

func (s electionShards) Held() iter.Seq2[string, uint64] {
	return func(yield func(string, uint64) bool) {
		for shard := range s.owner.Shards() {
			if !yield(shard.Name(), shard.KeyVersion()) {
				return
			}
		}
	}
}

func (s electionShards) KeyVersion(name string) (version uint64, held bool) {
	shard := s.owner.Shard(name)
	if shard == nil {
		return 0, false
	}
	return shard.KeyVersion(), true
}

func (s electionShards) Acquire(name string, lease, version uint64) {
	s.owner.AcquireShard(name, lease, version)
}

func (s electionShards) Release(name string, done func(storage.TxnResult)) {
	s.owner.ReleaseShard(name, done)
}

func (s electionShards) RemoveLost(name string) { s.owner.RemoveShard(name) }

func (s electionShards) RemoveAll() { s.owner.RemoveAllShards() }

// electionRegistrations implements election.Registrations: it reports whether shards are
// registered with a leader.
type electionRegistrations struct{ controller *Controller }

func (r electionRegistrations) HeldShardsConfirmed() bool {
	return r.controller.subscription.allRegistered()
}

func (r electionRegistrations) AllShardsRegistered() bool {
	return r.controller.leader == nil || r.controller.leader.shards.allRegistered()
}

// electionObserver implements election.Observer: it passes the election's decisions and
// observations to the controller's other components.
type electionObserver struct{ controller *Controller }

func (o electionObserver) LeadershipAcquired(fencingToken uint64) {
	o.controller.becomeLeader(fencingToken)
}

func (o electionObserver) LeadershipLost() { o.controller.endLeadership() }

func (o electionObserver) ViewChanged() { o.controller.subscription.registerShards() }

func (o electionObserver) QuotaRecordChanged(team string, value []byte, version uint64, present bool) {
	o.controller.admission.ObserveRecord(team, value, version, present)
}

func (o electionObserver) KeysListed(items []protocol.KeyValue) {
	o.controller.admission.ObserveAbsentRecords(items)
}

// Member returns the peer's member name.
func (p *peer) Member() string { return p.member }

// Connected reports whether a stream to the peer is open.
func (p *peer) Connected() bool { return p.link != nil }

// RequestHandover asks the peer to release a shard.
func (p *peer) RequestHandover(shard string) {
	p.send(&meshpb.Frame{Body: &meshpb.Frame_Handover{Handover: &meshpb.Handover{Shard: shard}}})
}

// RequestUptime asks how long the peer's process has been up.
func (p *peer) RequestUptime() {
	p.send(&meshpb.Frame{Body: &meshpb.Frame_UptimeRequest{UptimeRequest: &meshpb.UptimeRequest{}}})
}

// RequestLeaseExtension asks the peer for a lease extension, during which the peer does not
// claim this process's keys.
func (p *peer) RequestLeaseExtension(request *meshpb.LeaseExtensionRequest) {
	p.send(&meshpb.Frame{Body: &meshpb.Frame_LeaseExtensionRequest{LeaseExtensionRequest: request}})
}

package coordination

import (
	"math"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// While the state service is away nobody can renew a lease, yet no lease
// ends. A holder cannot tell that from being refused alone, so it may go on
// past its own count of its lease only while every other member keeps
// extending it, which is to say that it will not claim the holder's keys. An
// extension binds its granter for a fixed time, counted by the holder from when
// it asked; a restarted member, which may have forgotten one, claims nothing of
// others for that long.

const (
	extensionDuration        = 2 * time.Second
	extensionClockDrift      = 5 * time.Millisecond // more than two clocks differ by in that time
	extensionRequestInterval = 400 * time.Millisecond
	extensionRequestDelay    = 1500 * time.Millisecond // without a good renewal
	maxExtensionRounds       = 16                      // remembered
)

type leaseExtensions struct {
	boundByPredecessorOnly bool                     // bound only by what an earlier process may have granted
	boundUntil             time.Duration            // this member claims nothing of others before
	grantedAt              map[string]time.Duration // by member: when the last round it granted was asked
	requestedAt            map[uint64]time.Duration // when each was asked
	lastRound              uint64
	nextRequest            time.Duration
}

func (p *leaseExtensions) init(now time.Duration) {
	p.boundByPredecessorOnly = true
	p.boundUntil = now + extensionDuration + extensionClockDrift
	p.grantedAt = make(map[string]time.Duration)
	p.requestedAt = make(map[uint64]time.Duration)
}

// clearPredecessorBound notes that this is the member's first process ever, so that none
// before it can have granted anything.
func (p *leaseExtensions) clearPredecessorBound() {
	if p.boundByPredecessorOnly {
		p.boundUntil = 0
	}
}

// mayClaim tells whether no extension, granted or perhaps forgotten, binds
// this member. An earlier process of it cannot have granted one to
// processes that started after this one.
func (p *leaseExtensions) mayClaim(c *Controller, now time.Duration) bool {
	if now > p.boundUntil {
		return true
	}
	for _, peer := range c.peers {
		if !peer.startedLater {
			return false
		}
	}
	return p.boundByPredecessorOnly
}

// mayClaimOwnShard is the same for this member's own ledger: nobody goes on with
// that by an extension once everybody has been asked for it, see askForOwn.
func (p *leaseExtensions) mayClaimOwnShard(c *Controller, now time.Duration) bool {
	if p.mayClaim(c, now) {
		return true
	}
	for _, peer := range c.peers {
		if !peer.releasedOwnShard {
			return false
		}
	}
	return true
}

// requestOwnShard asks every member to give this one's own ledger up, in case it goes
// on with it although the key has vanished. Frames keep their order: who then
// answers another question has done so.
func (s *leaseSession) requestOwnShard(now time.Duration) {
	if now < s.nextHandoverRequest {
		return
	}
	s.nextHandoverRequest = now + handoverInterval
	for _, p := range s.c.peers {
		p.send(&meshpb.Frame{Body: &meshpb.Frame_Handover{Handover: &meshpb.Handover{Shard: s.c.cfg.Member}}})
		p.requestUptime(now)
		p.releaseConfirmedBy = p.uptimeRequests
	}
}

// extendedUntil is up to when every other member is bound. To a leader extensions are
// worth something only while every ledger has joined it: whoever confirms a
// cancellation then tells it on the stream that brings the extension, or grants
// none any more. The last holder of a ledger that nobody answers for may have confirmed
// one and ended before it could tell (ran_cancelled).
func (p *leaseExtensions) extendedUntil(c *Controller) time.Duration {
	if c.leader != nil && !c.leader.allShardsRegistered() {
		return 0
	}
	until := time.Duration(math.MaxInt64) // a member alone needs nobody's
	for name := range c.peers {
		asked, ok := p.grantedAt[name]
		if !ok {
			return 0
		}
		until = min(until, asked+extensionDuration-2*extensionClockDrift-leaseSafetyMargin/2)
	}
	return until
}

// requestExtensions asks the others to extend the lease once renewals fail.
func (s *leaseSession) requestExtensions(now time.Duration) {
	p := &s.extensions
	if s.leaseID == 0 || now < p.nextRequest || now-s.lastRenewalSent < min(extensionRequestDelay, s.c.tuning.StateLease/2) || len(s.c.peers) == 0 {
		return
	}
	p.nextRequest = now + extensionRequestInterval
	p.lastRound++
	p.requestedAt[p.lastRound] = now
	delete(p.requestedAt, p.lastRound-maxExtensionRounds)
	f := &meshpb.LeaseExtensionRequest{Round: p.lastRound}
	for name, l := range s.c.owner.shards {
		f.Keys = append(f.Keys, &meshpb.HeldKey{Key: storage.ShardKey(name), Version: l.records.Version()})
	}
	if s.c.leader != nil {
		f.Keys = append(f.Keys, &meshpb.HeldKey{Key: storage.LeaderKey, Version: s.c.leader.fencingToken})
	}
	if len(f.Keys) == 0 {
		return
	}
	for _, peer := range s.c.peers {
		peer.send(&meshpb.Frame{Body: &meshpb.Frame_LeaseExtensionRequest{LeaseExtensionRequest: f}})
	}
}

// onExtensionRequest grants an extension, unless this member has seen that a key is not the
// asker's any more, or a claim of its own is under way.
func (s *leaseSession) onExtensionRequest(from *peer, f *meshpb.LeaseExtensionRequest) {
	granted := s.viewLoaded && s.memberKeyVersion != 0 && len(f.Keys) > 0
	for _, k := range f.Keys {
		if k.Key == storage.LeaderKey && granted {
			s.observeLeader(from, k.Version)
		}
		held := &s.leaderKey
		name := storage.LeaderKey
		if k.Key != storage.LeaderKey {
			name, _ = storage.ShardOfKey(k.Key)
			held = s.shardKeys[name]
		}
		switch {
		case held == nil || s.claimsInFlight[name]:
			granted = false
		case k.Version > held.version:
			// The asker took the key after what this member last saw of it, which
			// may be long ago if the state service refuses it. It knows of no
			// newer claim, and whoever made one refuses by himself.
		case !held.present || held.holder.Member != from.member:
			granted = false
		}
	}
	if granted {
		s.extensions.boundByPredecessorOnly = false
		s.extensions.boundUntil = max(s.extensions.boundUntil, s.c.now()+extensionDuration+extensionClockDrift)
	}
	from.send(&meshpb.Frame{Body: &meshpb.Frame_LeaseExtension{LeaseExtension: &meshpb.LeaseExtension{Round: f.Round, Granted: granted}}})
}

func (s *leaseSession) onExtensionGrant(from *peer, f *meshpb.LeaseExtension) {
	if asked, ok := s.extensions.requestedAt[f.Round]; ok && f.Granted {
		s.extensions.grantedAt[from.member] = max(s.extensions.grantedAt[from.member], asked)
	}
}

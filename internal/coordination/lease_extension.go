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
	extensionSpan      = 2 * time.Second
	extensionDrift     = 5 * time.Millisecond // more than two clocks differ by in that time
	extensionInterval  = 400 * time.Millisecond
	extendAfter        = 1500 * time.Millisecond // without a good renewal
	maxExtensionRounds = 16                      // remembered
)

type leaseExtensions struct {
	fresh       bool                     // bound only by what an earlier process may have granted
	boundUntil  time.Duration            // this member claims nothing of others before
	granted     map[string]time.Duration // by member: when the last round it granted was asked
	rounds      map[uint64]time.Duration // when each was asked
	round       uint64
	nextRequest time.Duration
}

func (p *leaseExtensions) init(now time.Duration) {
	p.fresh = true
	p.boundUntil = now + extensionSpan + extensionDrift
	p.granted = make(map[string]time.Duration)
	p.rounds = make(map[uint64]time.Duration)
}

// first notes that this is the member's first process ever, so that none
// before it can have granted anything.
func (p *leaseExtensions) first() {
	if p.fresh {
		p.boundUntil = 0
	}
}

// freeToClaim tells whether no extension, granted or perhaps forgotten, binds
// this member. An earlier process of it cannot have granted one to
// processes that started after this one.
func (p *leaseExtensions) freeToClaim(c *Core, now time.Duration) bool {
	if now > p.boundUntil {
		return true
	}
	for _, peer := range c.peers {
		if !peer.younger {
			return false
		}
	}
	return p.fresh
}

// freeToClaimOwn is the same for this member's own ledger: nobody goes on with
// that by an extension once everybody has been asked for it, see askForOwn.
func (p *leaseExtensions) freeToClaimOwn(c *Core, now time.Duration) bool {
	if p.freeToClaim(c, now) {
		return true
	}
	for _, peer := range c.peers {
		if !peer.yielded {
			return false
		}
	}
	return true
}

// askForOwn asks every member to give this one's own ledger up, in case it goes
// on with it although the key has vanished. Frames keep their order: who then
// answers another question has done so.
func (s *session) askForOwn(now time.Duration) {
	if now < s.handoverAt {
		return
	}
	s.handoverAt = now + handoverEvery
	for _, p := range s.c.peers {
		p.send(&meshpb.Frame{Body: &meshpb.Frame_Handover{Handover: &meshpb.Handover{Shard: s.c.cfg.Member}}})
		p.askUptime(now)
		p.yieldsWith = p.asked
	}
}

// until is up to when every other member is bound. To a leader extensions are
// worth something only while every ledger has joined it: whoever confirms a
// cancellation then tells it on the stream that brings the extension, or grants
// none any more. The last holder of a ledger that nobody answers for may have confirmed
// one and ended before it could tell (ran_cancelled).
func (p *leaseExtensions) until(c *Core) time.Duration {
	if c.leader != nil && !c.leader.allJoined() {
		return 0
	}
	until := time.Duration(math.MaxInt64) // a member alone needs nobody's
	for name := range c.peers {
		asked, ok := p.granted[name]
		if !ok {
			return 0
		}
		until = min(until, asked+extensionSpan-2*extensionDrift-actMargin/2)
	}
	return until
}

// requestExtensions asks the others to extend the lease once renewals fail.
func (s *session) requestExtensions(now time.Duration) {
	p := &s.extensions
	if s.lease == 0 || now < p.nextRequest || now-s.goodSent < min(extendAfter, s.c.tune.StateLease/2) || len(s.c.peers) == 0 {
		return
	}
	p.nextRequest = now + extensionInterval
	p.round++
	p.rounds[p.round] = now
	delete(p.rounds, p.round-maxExtensionRounds)
	f := &meshpb.LeaseExtensionRequest{Round: p.round}
	for name, l := range s.c.owner.ledgers {
		f.Keys = append(f.Keys, &meshpb.HeldKey{Key: storage.ShardKey(name), Version: l.records.Version()})
	}
	if s.c.leader != nil {
		f.Keys = append(f.Keys, &meshpb.HeldKey{Key: storage.LeaderKey, Version: s.c.leader.token})
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
func (s *session) onExtensionRequest(from *peer, f *meshpb.LeaseExtensionRequest) {
	granted := s.viewOK && s.self != 0 && len(f.Keys) > 0
	for _, k := range f.Keys {
		if k.Key == storage.LeaderKey && granted {
			s.leads(from, k.Version)
		}
		held := &s.leaderK
		name := storage.LeaderKey
		if k.Key != storage.LeaderKey {
			name, _ = storage.ShardOfKey(k.Key)
			held = s.ledgers[name]
		}
		switch {
		case held == nil || s.claiming[name]:
			granted = false
		case k.Version > held.stamp:
			// The asker took the key after what this member last saw of it, which
			// may be long ago if the state service refuses it. It knows of no
			// newer claim, and whoever made one refuses by himself.
		case !held.present || held.holder.Member != from.member:
			granted = false
		}
	}
	if granted {
		s.extensions.fresh = false
		s.extensions.boundUntil = max(s.extensions.boundUntil, s.c.now()+extensionSpan+extensionDrift)
	}
	from.send(&meshpb.Frame{Body: &meshpb.Frame_LeaseExtension{LeaseExtension: &meshpb.LeaseExtension{Round: f.Round, Granted: granted}}})
}

func (s *session) onExtensionGrant(from *peer, f *meshpb.LeaseExtension) {
	if asked, ok := s.extensions.rounds[f.Round]; ok && f.Granted {
		s.extensions.granted[from.member] = max(s.extensions.granted[from.member], asked)
	}
}

package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// forgetReleasesOfOwnShard notes that whoever gave this member's own ledger up may hold it
// again.
func (s *leaseSession) forgetReleasesOfOwnShard() {
	for _, p := range s.c.peers {
		p.releaseConfirmedBy, p.releasedOwnShard = 0, false
	}
}

func shardOfKey(key string) string {
	name, _ := storage.ShardOfKey(key)
	return name
}

// claimShards takes this member's own ledger, and as leader also those whose
// holders are gone.
func (s *leaseSession) claimShards(now time.Duration) {
	for name, k := range s.shardKeys {
		if s.claimsInFlight[name] || s.c.owner.shards[name] != nil {
			continue
		}
		mine := name == s.c.cfg.Member
		switch {
		case k.present && k.holder == s.c.identity && !s.extensions.mayClaim(s.c, now):
			// A claim of ours that was applied late; it may have been granted away since.
		case k.present && k.holder.Member == s.c.cfg.Member:
			// An earlier process of this member held it; that one is over.
			// (A claim of this process whose answer was lost also ends up here.)
			s.claimShard(name, k.version)
		case k.present && mine:
			if p := s.c.peers[k.holder.Member]; p != nil && p.link != nil && now >= s.nextHandoverRequest {
				s.nextHandoverRequest = now + handoverInterval
				p.send(&meshpb.Frame{Body: &meshpb.Frame_Handover{Handover: &meshpb.Handover{Shard: name}}})
			}
		case !k.present && mine && s.extensions.mayClaimOwnShard(s.c, now):
			s.claimShard(name, 0)
		case !k.present && mine:
			s.requestOwnShard(now)
		case !k.present && !mine && s.c.leader != nil && now-k.changedAt > takeoverDelay && s.extensions.mayClaim(s.c, now):
			if p := s.c.peers[name]; p == nil || p.link == nil || now-k.changedAt > 3*takeoverDelay {
				s.claimShard(name, 0)
			}
		}
	}
}

func (s *leaseSession) claimShard(name string, stamp uint64) {
	s.claimsInFlight[name] = true
	lease := s.leaseID
	key := storage.ShardKey(name)
	s.putKey(key, stamp, func(r storage.TxnResult) {
		if lease != s.leaseID {
			return
		}
		switch r.Outcome {
		case storage.Applied:
			delete(s.claimsInFlight, name)
			s.observe(key, s.c.codec.Encode(s.c.identity), r.Revision, true)
			s.c.log.Info().Str("ledger", name).Uint64("stamp", r.Revision).Uint64("before", stamp).Msg("ledger claimed")
			s.c.owner.acquire(name, lease, r.Revision)
		case storage.LeaseExpired:
			s.endLease("the state service knows no such lease")
		default:
			// Without an answer the key may or may not be ours; the fresh
			// view decides, and a claim of ours that is applied late shows
			// there as held by this member.
			s.c.store.Get(storage.Urgent, key, func(r storage.GetResult) {
				if lease != s.leaseID {
					return
				}
				delete(s.claimsInFlight, name)
				if r.Found {
					s.observe(key, r.KeyValue.Value, r.KeyValue.Version, true)
				}
			})
		}
	})
}

func (s *leaseSession) putKey(key string, stamp uint64, done func(storage.TxnResult)) {
	self := storage.ProcessKey(s.c.cfg.Member)
	s.c.store.Txn(storage.Urgent, protocol.Transaction{
		If:   []protocol.Condition{{Key: key, Version: stamp}, {Key: self, Version: s.memberKeyVersion}},
		Then: []protocol.Change{{Put: key, Value: s.c.codec.Encode(s.c.identity), Lease: s.leaseID}},
	}, func(r storage.TxnResult) {
		if r.FailedOn(self) {
			s.memberKeyVersion = 0
		}
		done(r)
	})
}

// campaign tries for the leader key when nobody holds it, or an earlier process
// of this member does.
func (s *leaseSession) campaign(now time.Duration) {
	k := &s.leaderKey
	own := k.present && k.holder.Member == s.c.cfg.Member && s.c.leader == nil
	if s.claimsInFlight[storage.LeaderKey] || s.c.leader != nil || (k.present && !own) || now < s.abstainUntil {
		return
	}
	if s.campaignAt == 0 {
		s.campaignAt = now + time.Duration(s.c.env.Rand.Int64N(int64(electionJitter)))
		if own {
			s.campaignAt = now
		}
	}
	// A claim of this very process that was applied late may have been granted
	// away since; what an earlier one holds cannot have been.
	earlier := own && k.holder != s.c.identity
	if now < s.campaignAt || (!earlier && !s.extensions.mayClaim(s.c, now)) {
		return
	}
	s.claimsInFlight[storage.LeaderKey] = true
	lease, stamp, why := s.leaseID, uint64(0), "nobody held the leader key"
	if own {
		stamp, why = k.version, "this member held the leader key already"
	}
	s.putKey(storage.LeaderKey, stamp, func(r storage.TxnResult) {
		if lease != s.leaseID {
			return
		}
		switch r.Outcome {
		case storage.Applied:
			delete(s.claimsInFlight, storage.LeaderKey)
			s.observe(storage.LeaderKey, s.c.codec.Encode(s.c.identity), r.Revision, true)
			s.c.becomeLeader(r.Revision, why)
		case storage.LeaseExpired:
			s.endLease("the state service knows no such lease")
		default:
			s.campaignAt = 0
			s.c.store.Get(storage.Urgent, storage.LeaderKey, func(r storage.GetResult) {
				if lease != s.leaseID {
					return
				}
				delete(s.claimsInFlight, storage.LeaderKey)
				if r.Found {
					s.observe(storage.LeaderKey, r.KeyValue.Value, r.KeyValue.Version, true)
				}
			})
		}
	})
}

// resign gives the leader key up and stays out for a while, so that the
// answers which name the leader do not lead everyone back here.
func (s *leaseSession) resign(why string) {
	if s.c.leader == nil {
		return
	}
	s.c.log.Error().Str("why", why).Msg("giving up leadership")
	token := s.c.leader.fencingToken
	s.abstainUntil = s.c.now() + abstainDuration
	s.c.dropLeadership(why)
	s.leaderKey = observedKey{version: s.leaderKey.version, changedAt: s.c.now()}
	s.deleteLeaderKey(token)
}

// deleteLeaderKey removes the leader key that this process has given up. It
// tries until the key is gone: kept alive by the lease, it would keep every
// other member out.
func (s *leaseSession) deleteLeaderKey(token uint64) {
	s.c.store.Txn(storage.Urgent, protocol.Transaction{
		If:   []protocol.Condition{{Key: storage.LeaderKey, Version: token}},
		Then: []protocol.Change{{Delete: storage.LeaderKey}},
	}, func(r storage.TxnResult) {
		if r.Outcome == storage.Refused || r.Outcome == storage.Unknown {
			s.c.store.After(sessionRetryInterval, func() { s.deleteLeaderKey(token) })
		}
	})
}

// onHandover gives a ledger back to the member whose name it bears.
func (s *leaseSession) onHandover(p *peer, h *meshpb.Handover) {
	l := s.c.owner.shards[h.Shard]
	if l == nil || h.Shard != p.member {
		return
	}
	s.c.log.Info().Str("ledger", h.Shard).Msg("handing ledger back")
	s.releaseShard(h.Shard)
}

// releaseShard releases a ledger's key and forgets the ledger.
func (s *leaseSession) releaseShard(name string) {
	s.claimsInFlight[name] = true
	s.c.owner.shards[name].records.Release(func(r storage.TxnResult) {
		delete(s.claimsInFlight, name)
		if r.Outcome == storage.Applied {
			s.observe(storage.ShardKey(name), nil, r.Revision, false)
		}
	})
	s.c.owner.removeShard(name)
}

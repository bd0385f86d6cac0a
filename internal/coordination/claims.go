package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// othersHoldOwn notes that whoever gave this member's own ledger up may hold it
// again.
func (s *session) othersHoldOwn() {
	for _, p := range s.c.peers {
		p.yieldsWith, p.yielded = 0, false
	}
}

func ledgerName(key string) string {
	name, _ := storage.ShardOfKey(key)
	return name
}

// claimLedgers takes this member's own ledger, and as leader also those whose
// holders are gone.
func (s *session) claimLedgers(now time.Duration) {
	for name, k := range s.ledgers {
		if s.claiming[name] || s.c.owner.ledgers[name] != nil {
			continue
		}
		mine := name == s.c.cfg.Member
		switch {
		case k.present && k.holder == s.c.me && !s.extensions.freeToClaim(s.c, now):
			// A claim of ours that was applied late; it may have been granted away since.
		case k.present && k.holder.Member == s.c.cfg.Member:
			// An earlier process of this member held it; that one is over.
			// (A claim of this process whose answer was lost also ends up here.)
			s.claim(name, k.stamp)
		case k.present && mine:
			if p := s.c.peers[k.holder.Member]; p != nil && p.link != nil && now >= s.handoverAt {
				s.handoverAt = now + handoverEvery
				p.send(&meshpb.Frame{Body: &meshpb.Frame_Handover{Handover: &meshpb.Handover{Shard: name}}})
			}
		case !k.present && mine && s.extensions.freeToClaimOwn(s.c, now):
			s.claim(name, 0)
		case !k.present && mine:
			s.askForOwn(now)
		case !k.present && !mine && s.c.leader != nil && now-k.since > takeoverAfter && s.extensions.freeToClaim(s.c, now):
			if p := s.c.peers[name]; p == nil || p.link == nil || now-k.since > 3*takeoverAfter {
				s.claim(name, 0)
			}
		}
	}
}

func (s *session) claim(name string, stamp uint64) {
	s.claiming[name] = true
	lease := s.lease
	key := storage.ShardKey(name)
	s.put(key, stamp, func(r storage.TxnResult) {
		if lease != s.lease {
			return
		}
		switch r.Outcome {
		case storage.Applied:
			delete(s.claiming, name)
			s.see(key, s.c.codec.Encode(s.c.me), r.Revision, true)
			s.c.log.Info().Str("ledger", name).Uint64("stamp", r.Revision).Uint64("before", stamp).Msg("ledger claimed")
			s.c.owner.adopt(name, lease, r.Revision)
		case storage.LeaseExpired:
			s.end("the state service knows no such lease")
		default:
			// Without an answer the key may or may not be ours; the fresh
			// view decides, and a claim of ours that is applied late shows
			// there as held by this member.
			s.c.store.Get(storage.Urgent, key, func(p protocol.KeyValue, found, ok bool) {
				if lease != s.lease {
					return
				}
				delete(s.claiming, name)
				if ok && found {
					s.see(key, p.Value, p.Version, true)
				}
			})
		}
	})
}

func (s *session) put(key string, stamp uint64, done func(storage.TxnResult)) {
	self := storage.ProcessKey(s.c.cfg.Member)
	s.c.store.Txn(storage.Urgent, protocol.Transaction{
		If:   []protocol.Condition{{Key: key, Version: stamp}, {Key: self, Version: s.self}},
		Then: []protocol.Change{{Put: key, Value: s.c.codec.Encode(s.c.me), Lease: s.lease}},
	}, func(r storage.TxnResult) {
		if r.FailedOn(self) {
			s.self = 0
		}
		done(r)
	})
}

// elect tries for the leader key when nobody holds it, or an earlier process
// of this member does.
func (s *session) elect(now time.Duration) {
	k := &s.leaderK
	own := k.present && k.holder.Member == s.c.cfg.Member && s.c.leader == nil
	if s.claiming[storage.LeaderKey] || s.c.leader != nil || (k.present && !own) || now < s.abstainTo {
		return
	}
	if s.electAt == 0 {
		s.electAt = now + time.Duration(s.c.env.Rand.Int64N(int64(electionJitter)))
		if own {
			s.electAt = now
		}
	}
	// A claim of this very process that was applied late may have been granted
	// away since; what an earlier one holds cannot have been.
	earlier := own && k.holder != s.c.me
	if now < s.electAt || (!earlier && !s.extensions.freeToClaim(s.c, now)) {
		return
	}
	s.claiming[storage.LeaderKey] = true
	lease, stamp, why := s.lease, uint64(0), "nobody held the leader key"
	if own {
		stamp, why = k.stamp, "this member held the leader key already"
	}
	s.put(storage.LeaderKey, stamp, func(r storage.TxnResult) {
		if lease != s.lease {
			return
		}
		switch r.Outcome {
		case storage.Applied:
			delete(s.claiming, storage.LeaderKey)
			s.see(storage.LeaderKey, s.c.codec.Encode(s.c.me), r.Revision, true)
			s.c.becomeLeader(r.Revision, why)
		case storage.LeaseExpired:
			s.end("the state service knows no such lease")
		default:
			s.electAt = 0
			s.c.store.Get(storage.Urgent, storage.LeaderKey, func(p protocol.KeyValue, found, ok bool) {
				if lease != s.lease {
					return
				}
				delete(s.claiming, storage.LeaderKey)
				if ok && found {
					s.see(storage.LeaderKey, p.Value, p.Version, true)
				}
			})
		}
	})
}

// resign gives the leader key up and stays out for a while, so that the
// answers which name the leader do not lead everyone back here.
func (s *session) resign(why string) {
	if s.c.leader == nil {
		return
	}
	s.c.log.Error().Str("why", why).Msg("giving up leadership")
	token := s.c.leader.token
	s.abstainTo = s.c.now() + abstainFor
	s.c.dropLeadership(why)
	s.leaderK = heldKey{stamp: s.leaderK.stamp, since: s.c.now()}
	s.dropLeaderKey(token)
}

// dropLeaderKey removes the leader key that this process has given up. It
// tries until the key is gone: kept alive by the lease, it would keep every
// other member out.
func (s *session) dropLeaderKey(token uint64) {
	s.c.store.Txn(storage.Urgent, protocol.Transaction{
		If:   []protocol.Condition{{Key: storage.LeaderKey, Version: token}},
		Then: []protocol.Change{{Delete: storage.LeaderKey}},
	}, func(r storage.TxnResult) {
		if r.Outcome == storage.Refused || r.Outcome == storage.Unknown {
			s.c.store.After(sessionRetry, func() { s.dropLeaderKey(token) })
		}
	})
}

// onHandover gives a ledger back to the member whose name it bears.
func (s *session) onHandover(p *peer, h *meshpb.Handover) {
	l := s.c.owner.ledgers[h.Shard]
	if l == nil || h.Shard != p.member {
		return
	}
	s.c.log.Info().Str("ledger", h.Shard).Msg("handing ledger back")
	s.giveUp(h.Shard)
}

// giveUp releases a ledger's key and forgets the ledger.
func (s *session) giveUp(name string) {
	s.claiming[name] = true
	s.c.owner.ledgers[name].records.Release(func(r storage.TxnResult) {
		delete(s.claiming, name)
		if r.Outcome == storage.Applied {
			s.see(storage.ShardKey(name), nil, r.Revision, false)
		}
	})
	s.c.owner.drop(name)
}

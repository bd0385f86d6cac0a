package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	watchHold      = 8 * time.Second
	sessionRetry   = 400 * time.Millisecond
	takeoverAfter  = 1500 * time.Millisecond // a free ledger is left this long to its own member
	handoverEvery  = time.Second
	abstainFor     = 25 * time.Second
	cutOffAfter    = 6 * time.Second // without a stream from the leader, an owner gives its ledgers up
	electionJitter = 250 * time.Millisecond
)

// heldKey is a leader or ledger key as the watch shows it.
type heldKey struct {
	present bool
	holder  storage.Holder
	stamp   uint64
	since   time.Duration // when it was last seen to change
}

// session is this process's one state lease, and its view of who holds the
// leader key and the ledgers.
type session struct {
	c       *Core
	lease   uint64
	opening bool
	retryAt time.Duration

	goodSent  time.Duration // when the last good renewal was sent
	nextTouch time.Duration
	touching  int

	viewOK   bool
	revision uint64
	listing  bool
	watching bool
	leaderK  heldKey
	ledgers  map[string]*heldKey
	versions versions

	self        uint64 // stamp of the key that names this process; 0: not certainly written
	registering bool

	claiming   map[string]bool
	electAt    time.Duration
	abstainTo  time.Duration
	handoverAt time.Duration // when the own ledger may be asked for again
	joinedAt   time.Duration // when this member last had a stream from the leader
	extensions leaseExtensions
}

func (s *session) init(c *Core) {
	s.c = c
	s.ledgers = make(map[string]*heldKey)
	s.versions.init(c)
	s.claiming = make(map[string]bool)
	now := c.now()
	s.ledgers[c.cfg.Member] = &heldKey{since: now}
	for _, p := range c.cfg.Peers {
		s.ledgers[p.Member] = &heldKey{since: now}
	}
	s.leaderK.since = now
	s.extensions.init(now)
}

// leaseHolds tells whether the state lease surely lasts.
func (s *session) leaseHolds(now time.Duration) bool { return now < s.leaseUntil() }

// leaseUntil is up to when the state lease surely lasts: it is counted from
// when its last good renewal was sent.
func (s *session) leaseUntil() time.Duration {
	if s.lease == 0 {
		return 0
	}
	return s.goodSent + time.Duration(float64(s.c.tune.StateLease)/driftFactor) - actMargin
}

// mayAct tells whether the keys attached to the lease are surely still this
// process's.
func (s *session) mayAct(now time.Duration) bool { return now < s.actsUntil() }

// actsUntil is up to when they surely are: by the lease, or because every other
// member has extended the lease.
func (s *session) actsUntil() time.Duration {
	if s.lease == 0 {
		return 0
	}
	return max(s.leaseUntil(), s.extensions.until(s.c))
}

// leaderMember is the member that is thought to lead.
func (s *session) leaderMember() string {
	if !s.leaderK.present {
		return ""
	}
	return s.leaderK.holder.Member
}

// holdsAny tells whether a member holds the leader key or a ledger.
func (s *session) holdsAny(member string) bool {
	if s.leaderMember() == member {
		return true
	}
	for _, k := range s.ledgers {
		if k.present && k.holder.Member == member {
			return true
		}
	}
	return false
}

func (s *session) tick(now time.Duration) {
	if s.lease == 0 {
		s.open(now)
	} else if now >= s.nextTouch && s.touching < 3 {
		s.touch(now)
	}
	s.versions.tick(now)
	s.follow(now)
	s.register(now)
	s.requestExtensions(now)
	if s.self == 0 || !s.viewOK || !s.leaseHolds(now) {
		return
	}
	if s.c.subscription.joinedAll() || !s.leaderK.present || s.leaderK.holder.Member == s.c.cfg.Member {
		s.joinedAt = now
	}
	if now-s.joinedAt > cutOffAfter {
		s.yieldLedgers()
	} else {
		s.claimLedgers(now)
	}
	s.elect(now)
}

// yieldLedgers gives up every ledger of a member that the leader cannot
// reach: nothing of them could be started, and tasks of jobs that users
// cancel here would go on running.
func (s *session) yieldLedgers() {
	for name := range s.c.owner.ledgers {
		s.c.log.Error().Str("ledger", name).Msg("cut off from the leader, giving ledger up")
		s.giveUp(name)
	}
}

// register writes the key that names this process. Before that is certain it
// neither claims nor grants anything: claims of an earlier process of this
// member may still be on their way, and only this write puts an end to them.
func (s *session) register(now time.Duration) {
	if s.self != 0 || s.registering || now < s.retryAt {
		return
	}
	s.registering = true
	key := storage.ProcessKey(s.c.cfg.Member)
	again := func() {
		s.registering = false
		s.retryAt = s.c.now() + sessionRetry
	}
	s.c.store.Get(storage.Urgent, key, func(p protocol.KeyValue, found, ok bool) {
		var h storage.Holder
		switch {
		case !ok:
			again()
			return
		case found && s.c.codec.Decode(p.Value, &h) == nil && h == s.c.me:
			// An earlier write of ours that got no answer. Others of ours have
			// the same condition and fail from now on.
			s.self, s.registering = p.Version, false
			return
		}
		s.c.store.Txn(storage.Urgent, protocol.Transaction{
			If:   []protocol.Condition{{Key: key, Version: p.Version}},
			Then: []protocol.Change{{Put: key, Value: s.c.codec.Encode(s.c.me)}},
		}, func(r storage.TxnResult) {
			if r.Outcome != storage.Applied {
				again()
				return
			}
			s.self, s.registering = r.Revision, false
			if !found {
				s.extensions.first()
			}
			s.tick(s.c.now())
		})
	})
}

func (s *session) open(now time.Duration) {
	if s.opening || now < s.retryAt {
		return
	}
	s.opening = true
	s.c.store.OpenLease(s.c.tune.StateLease, func(lease uint64) {
		s.opening = false
		if lease == 0 {
			s.retryAt = s.c.now() + sessionRetry
			return
		}
		s.lease, s.goodSent = lease, now
		s.nextTouch = now + s.c.tune.StateLease/5
		s.c.log.Info().Uint64("lease", lease).Msg("state lease opened")
	})
}

func (s *session) touch(now time.Duration) {
	lease := s.lease
	s.nextTouch = now + s.c.tune.StateLease/5
	s.touching++
	s.c.store.RenewLease(lease, s.c.tune.StateLease/2, func(ok, lost bool) {
		s.touching--
		switch {
		case lease != s.lease:
		case ok:
			s.goodSent = max(s.goodSent, now)
		case lost:
			s.c.log.Error().Uint64("lease", lease).Msg("state lease lost, starting over")
			s.end("state lease lost")
		}
	})
}

// end gives up everything that hung on the lease.
func (s *session) end(why string) {
	s.lease = 0
	s.claiming = make(map[string]bool)
	s.c.dropLeadership(why)
	s.c.owner.dropAll()
}

// follow keeps the view of the keys up to date.
func (s *session) follow(now time.Duration) {
	if !s.viewOK {
		if s.listing || now < s.retryAt {
			return
		}
		s.listing = true
		s.c.store.List(storage.MemberPrefix, func(items []protocol.KeyValue, rev uint64, ok bool) {
			s.listing = false
			if !ok {
				s.retryAt = s.c.now() + sessionRetry
				return
			}
			s.revision = rev
			s.load(items)
			s.viewOK = true
		})
		return
	}
	if s.watching || now < s.retryAt {
		return
	}
	s.watching = true
	s.c.store.Watch(storage.MemberPrefix, s.revision, watchHold, func(ev protocol.WatchResponse, gone, ok bool) {
		s.watching = false
		if !ok {
			s.retryAt = s.c.now() + sessionRetry
			s.viewOK = !gone && s.viewOK
			return
		}
		for _, e := range ev.Events {
			if e.Put != "" {
				s.see(e.Put, e.Value, e.Version, true)
			} else {
				s.see(e.Delete, nil, e.Version, false)
			}
		}
		s.revision = max(s.revision, ev.Revision)
		s.c.subscription.join()
		s.follow(s.c.now())
		s.tick(s.c.now())
	})
}

func (s *session) load(items []protocol.KeyValue) {
	s.othersHoldOwn() // what has happened since the last list is not known
	seen := make(map[string]bool, len(items))
	for _, it := range items {
		seen[it.Key] = true
		s.see(it.Key, it.Value, it.Version, true)
	}
	s.c.admission.listed(items)
	if !seen[storage.LeaderKey] {
		s.see(storage.LeaderKey, nil, s.revision, false)
	}
	for name := range s.ledgers {
		if key := storage.ShardKey(name); !seen[key] {
			s.see(key, nil, s.revision, false)
		}
	}
	s.c.subscription.join()
}

func (s *session) see(key string, value []byte, stamp uint64, present bool) {
	if member, ok := storage.MemberOfProcessKey(key); ok {
		s.versions.see(member, value, present)
		return
	}
	if team, ok := storage.TeamOfQuotaKey(key); ok {
		s.c.admission.observe(team, value, stamp, present)
		return
	}
	k := &s.leaderK
	if key != storage.LeaderKey {
		name, ok := storage.ShardOfKey(key)
		if !ok {
			return
		}
		k = s.ledgers[name]
		if k == nil {
			k = &heldKey{}
			s.ledgers[name] = k
		}
	}
	if stamp < k.stamp || (stamp == k.stamp && k.present == present) {
		return
	}
	var h storage.Holder
	if present && s.c.codec.Decode(value, &h) != nil {
		return
	}
	*k = heldKey{present: present, holder: h, stamp: stamp, since: s.c.now()}
	if key == storage.ShardKey(s.c.cfg.Member) && present && h.Member != s.c.cfg.Member {
		s.othersHoldOwn()
	}
	if key == storage.LeaderKey {
		s.electAt = 0
		if s.c.leader != nil && (!present || h != s.c.me || stamp != s.c.leader.token) {
			s.c.log.Info().Str("leader", h.Member).Uint64("token", stamp).Msg("another member leads")
			s.c.dropLeadership("the leader key has changed")
		}
	} else if l := s.c.owner.ledgers[ledgerName(key)]; l != nil && (!present || h != s.c.me) && stamp > l.records.Version() {
		s.c.log.Info().Str("ledger", l.name).Str("holder", h.Member).Uint64("stamp", stamp).Msg("ledger is another's now")
		s.c.owner.drop(l.name)
	}
}

// leads takes a member's word that it leads under a token, which is the stamp
// that it wrote the leader key with. The watch may show that much later, or not
// before the end of an outage: an owner that joins a leader of before, or none,
// would tell nobody who answers reports what its users cancel (ran_cancelled).
func (s *session) leads(p *peer, token uint64) {
	if p == s.c.self || token <= s.leaderK.stamp {
		return
	}
	s.see(storage.LeaderKey, s.c.codec.Encode(storage.Holder{Member: p.member}), token, true)
	s.c.subscription.join()
}

package coordination

import (
	"errors"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	watchTimeout         = 8 * time.Second
	sessionRetryInterval = 400 * time.Millisecond
	takeoverDelay        = 1500 * time.Millisecond // a free ledger is left this long to its own member
	handoverInterval     = time.Second
	abstainDuration      = 25 * time.Second
	leaderContactTimeout = 6 * time.Second // without a stream from the leader, an owner gives its ledgers up
	electionJitter       = 250 * time.Millisecond
)

// observedKey is a leader or ledger key as the watch shows it.
type observedKey struct {
	present   bool
	holder    storage.Holder
	version   uint64
	changedAt time.Duration // when it was last seen to change
}

// leaseSession is this process's one state lease, and its view of who holds the
// leader key and the ledgers.
type leaseSession struct {
	c       *Controller
	leaseID uint64
	opening bool
	retryAt time.Duration

	lastRenewalSent  time.Duration // when the last good renewal was sent
	nextRenewal      time.Duration
	renewalsInFlight int

	viewLoaded    bool
	revision      uint64
	loadingView   bool
	watching      bool
	leaderKey     observedKey
	shardKeys     map[string]*observedKey
	recordFormats recordFormats

	memberKeyVersion   uint64 // stamp of the key that names this process; 0: not certainly written
	registeringProcess bool

	claimsInFlight      map[string]bool
	campaignAt          time.Duration
	abstainUntil        time.Duration
	nextHandoverRequest time.Duration // when the own ledger may be asked for again
	lastLeaderContact   time.Duration // when this member last had a stream from the leader
	extensions          leaseExtensions
}

func (s *leaseSession) init(c *Controller) {
	s.c = c
	s.shardKeys = make(map[string]*observedKey)
	s.recordFormats.init(c)
	s.claimsInFlight = make(map[string]bool)
	now := c.now()
	s.shardKeys[c.cfg.Member] = &observedKey{changedAt: now}
	for _, p := range c.cfg.Peers {
		s.shardKeys[p.Member] = &observedKey{changedAt: now}
	}
	s.leaderKey.changedAt = now
	s.extensions.init(now)
}

// leaseValid tells whether the state lease surely lasts.
func (s *leaseSession) leaseValid(now time.Duration) bool { return now < s.leaseValidUntil() }

// leaseValidUntil is up to when the state lease surely lasts: it is counted from
// when its last good renewal was sent.
func (s *leaseSession) leaseValidUntil() time.Duration {
	if s.leaseID == 0 {
		return 0
	}
	return s.lastRenewalSent + time.Duration(float64(s.c.tuning.StateLease)/clockDriftFactor) - leaseSafetyMargin
}

// mayAct tells whether the keys attached to the lease are surely still this
// process's.
func (s *leaseSession) mayAct(now time.Duration) bool { return now < s.mayActUntil() }

// mayActUntil is up to when they surely are: by the lease, or because every other
// member has extended the lease.
func (s *leaseSession) mayActUntil() time.Duration {
	if s.leaseID == 0 {
		return 0
	}
	return max(s.leaseValidUntil(), s.extensions.extendedUntil(s.c))
}

// leaderMember is the member that is thought to lead.
func (s *leaseSession) leaderMember() string {
	if !s.leaderKey.present {
		return ""
	}
	return s.leaderKey.holder.Member
}

// holdsAnyKey tells whether a member holds the leader key or a ledger.
func (s *leaseSession) holdsAnyKey(member string) bool {
	if s.leaderMember() == member {
		return true
	}
	for _, k := range s.shardKeys {
		if k.present && k.holder.Member == member {
			return true
		}
	}
	return false
}

func (s *leaseSession) tick(now time.Duration) {
	if s.leaseID == 0 {
		s.openLease(now)
	} else if now >= s.nextRenewal && s.renewalsInFlight < 3 {
		s.renew(now)
	}
	s.recordFormats.tick(now)
	s.watch(now)
	s.registerProcess(now)
	s.requestExtensions(now)
	if s.memberKeyVersion == 0 || !s.viewLoaded || !s.leaseValid(now) {
		return
	}
	if s.c.subscription.allRegistered() || !s.leaderKey.present || s.leaderKey.holder.Member == s.c.cfg.Member {
		s.lastLeaderContact = now
	}
	if now-s.lastLeaderContact > leaderContactTimeout {
		s.releaseShards()
	} else {
		s.claimShards(now)
	}
	s.campaign(now)
}

// releaseShards gives up every ledger of a member that the leader cannot
// reach: nothing of them could be started, and tasks of jobs that users
// cancel here would go on running.
func (s *leaseSession) releaseShards() {
	for name := range s.c.owner.shards {
		s.c.log.Error().Str("ledger", name).Msg("cut off from the leader, giving ledger up")
		s.releaseShard(name)
	}
}

// registerProcess writes the key that names this process. Before that is certain it
// neither claims nor grants anything: claims of an earlier process of this
// member may still be on their way, and only this write puts an end to them.
func (s *leaseSession) registerProcess(now time.Duration) {
	if s.memberKeyVersion != 0 || s.registeringProcess || now < s.retryAt {
		return
	}
	s.registeringProcess = true
	key := storage.ProcessKey(s.c.cfg.Member)
	again := func() {
		s.registeringProcess = false
		s.retryAt = s.c.now() + sessionRetryInterval
	}
	s.c.store.Get(storage.Urgent, key, func(current storage.GetResult) {
		var h storage.Holder
		switch {
		case current.Err != nil:
			again()
			return
		case current.Found && s.c.codec.Decode(current.KeyValue.Value, &h) == nil && h == s.c.identity:
			// An earlier write of ours that got no answer. Others of ours have
			// the same condition and fail from now on.
			s.memberKeyVersion, s.registeringProcess = current.KeyValue.Version, false
			return
		}
		s.c.store.Txn(storage.Urgent, protocol.Transaction{
			If:   []protocol.Condition{{Key: key, Version: current.KeyValue.Version}},
			Then: []protocol.Change{{Put: key, Value: s.c.codec.Encode(s.c.identity)}},
		}, func(r storage.TxnResult) {
			if r.Outcome != storage.Applied {
				again()
				return
			}
			s.memberKeyVersion, s.registeringProcess = r.Revision, false
			if !current.Found {
				s.extensions.clearPredecessorBound()
			}
			s.tick(s.c.now())
		})
	})
}

func (s *leaseSession) openLease(now time.Duration) {
	if s.opening || now < s.retryAt {
		return
	}
	s.opening = true
	s.c.store.OpenLease(s.c.tuning.StateLease, func(lease uint64) {
		s.opening = false
		if lease == 0 {
			s.retryAt = s.c.now() + sessionRetryInterval
			return
		}
		s.leaseID, s.lastRenewalSent = lease, now
		s.nextRenewal = now + s.c.tuning.StateLease/5
		s.c.log.Info().Uint64("lease", lease).Msg("state lease opened")
	})
}

func (s *leaseSession) renew(now time.Duration) {
	lease := s.leaseID
	s.nextRenewal = now + s.c.tuning.StateLease/5
	s.renewalsInFlight++
	s.c.store.RenewLease(lease, s.c.tuning.StateLease/2, func(ok, lost bool) {
		s.renewalsInFlight--
		switch {
		case lease != s.leaseID:
		case ok:
			s.lastRenewalSent = max(s.lastRenewalSent, now)
		case lost:
			s.c.log.Error().Uint64("lease", lease).Msg("state lease lost, starting over")
			s.endLease("state lease lost")
		}
	})
}

// endLease gives up everything that hung on the lease.
func (s *leaseSession) endLease(why string) {
	s.leaseID = 0
	s.claimsInFlight = make(map[string]bool)
	s.c.dropLeadership(why)
	s.c.owner.removeAllShards()
}

// watch keeps the view of the keys up to date.
func (s *leaseSession) watch(now time.Duration) {
	if !s.viewLoaded {
		if s.loadingView || now < s.retryAt {
			return
		}
		s.loadingView = true
		s.c.store.List(storage.MemberPrefix, func(items []protocol.KeyValue, rev uint64, err error) {
			s.loadingView = false
			if err != nil {
				s.retryAt = s.c.now() + sessionRetryInterval
				return
			}
			s.revision = rev
			s.loadView(items)
			s.viewLoaded = true
		})
		return
	}
	if s.watching || now < s.retryAt {
		return
	}
	s.watching = true
	s.c.store.Watch(storage.MemberPrefix, s.revision, watchTimeout, func(ev protocol.WatchResponse, err error) {
		s.watching = false
		if err != nil {
			s.retryAt = s.c.now() + sessionRetryInterval
			s.viewLoaded = s.viewLoaded && !errors.Is(err, storage.ErrRevisionTooOld)
			return
		}
		for _, e := range ev.Events {
			if e.Put != "" {
				s.observe(e.Put, e.Value, e.Version, true)
			} else {
				s.observe(e.Delete, nil, e.Version, false)
			}
		}
		s.revision = max(s.revision, ev.Revision)
		s.c.subscription.registerShards()
		s.watch(s.c.now())
		s.tick(s.c.now())
	})
}

func (s *leaseSession) loadView(items []protocol.KeyValue) {
	s.forgetReleasesOfOwnShard() // what has happened since the last list is not known
	seen := make(map[string]bool, len(items))
	for _, it := range items {
		seen[it.Key] = true
		s.observe(it.Key, it.Value, it.Version, true)
	}
	s.c.admission.observeAll(items)
	if !seen[storage.LeaderKey] {
		s.observe(storage.LeaderKey, nil, s.revision, false)
	}
	for name := range s.shardKeys {
		if key := storage.ShardKey(name); !seen[key] {
			s.observe(key, nil, s.revision, false)
		}
	}
	s.c.subscription.registerShards()
}

func (s *leaseSession) observe(key string, value []byte, stamp uint64, present bool) {
	if member, ok := storage.MemberOfProcessKey(key); ok {
		s.recordFormats.observe(member, value, present)
		return
	}
	if team, ok := storage.TeamOfQuotaKey(key); ok {
		s.c.admission.observeRecord(team, value, stamp, present)
		return
	}
	k := &s.leaderKey
	if key != storage.LeaderKey {
		name, ok := storage.ShardOfKey(key)
		if !ok {
			return
		}
		k = s.shardKeys[name]
		if k == nil {
			k = &observedKey{}
			s.shardKeys[name] = k
		}
	}
	if stamp < k.version || (stamp == k.version && k.present == present) {
		return
	}
	var h storage.Holder
	if present && s.c.codec.Decode(value, &h) != nil {
		return
	}
	*k = observedKey{present: present, holder: h, version: stamp, changedAt: s.c.now()}
	if key == storage.ShardKey(s.c.cfg.Member) && present && h.Member != s.c.cfg.Member {
		s.forgetReleasesOfOwnShard()
	}
	if key == storage.LeaderKey {
		s.campaignAt = 0
		if s.c.leader != nil && (!present || h != s.c.identity || stamp != s.c.leader.fencingToken) {
			s.c.log.Info().Str("leader", h.Member).Uint64("token", stamp).Msg("another member leads")
			s.c.dropLeadership("the leader key has changed")
		}
	} else if l := s.c.owner.shards[shardOfKey(key)]; l != nil && (!present || h != s.c.identity) && stamp > l.records.Version() {
		s.c.log.Info().Str("ledger", l.name).Str("holder", h.Member).Uint64("stamp", stamp).Msg("ledger is another's now")
		s.c.owner.removeShard(l.name)
	}
}

// observeLeader takes a member's word that it leads under a token, which is the stamp
// that it wrote the leader key with. The watch may show that much later, or not
// before the end of an outage: an owner that joins a leader of before, or none,
// would tell nobody who answers reports what its users cancel (ran_cancelled).
func (s *leaseSession) observeLeader(p *peer, token uint64) {
	if p == s.c.selfPeer || token <= s.leaderKey.version {
		return
	}
	s.observe(storage.LeaderKey, s.c.codec.Encode(storage.Holder{Member: p.member}), token, true)
	s.c.subscription.registerShards()
}

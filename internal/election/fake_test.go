package election

import (
	"iter"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

const (
	testTTL       time.Duration = 5 * time.Second
	testStartedAt               = time.Hour // start of the process, on its clock
)

var testIdentity = storage.Holder{Member: "a", Nonce: "2", RecordFormat: storage.CurrentRecordFormat}

// process is one process of member a in a deployment with members b and c. It
// collects the requests to the state service for the test to answer.
type process struct {
	*Election
	t     *testing.T
	now   time.Duration
	codec *protocol.Codec
	peers map[string]*fakePeer

	leases   []func(lease uint64)
	renewals []func(storage.LeaseRenewal)
	gets     []func(storage.GetResult)
	txns     []fakeTxn
	lists    []storage.ListDone

	heldShards      map[string]uint64 // versions of the keys, by shard
	shardsConfirmed bool              // result of HeldShardsConfirmed
	allRegistered   bool              // result of AllShardsRegistered
	events          []string          // changes of shards and of leadership, in order
}

type fakeTxn struct {
	protocol.Transaction
	done func(storage.TxnResult)
}

type fakePeer struct {
	member    string
	connected bool
	sent      []string // requests, in order
}

func (f *fakePeer) Member() string { return f.member }

func (f *fakePeer) Connected() bool { return f.connected }

func (f *fakePeer) RequestHandover(shard string) { f.sent = append(f.sent, "handover "+shard) }

func (f *fakePeer) RequestUptime() { f.sent = append(f.sent, "uptime") }

func (f *fakePeer) RequestLeaseExtension(*meshpb.LeaseExtensionRequest) {
	f.sent = append(f.sent, "extension")
}

// newProcess returns a process that has just started and not sent any request.
func newProcess(t *testing.T) *process {
	t.Helper()
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		t: t, now: testStartedAt, codec: codec, heldShards: make(map[string]uint64), shardsConfirmed: true, allRegistered: true,
		peers: map[string]*fakePeer{"b": {member: "b", connected: true}, "c": {member: "c", connected: true}},
	}
	p.Election = New(Config{Identity: testIdentity, StartedAt: testStartedAt, LeaseTTL: testTTL}, Environment{
		Clock: processClock{p}, Rand: rand.New(rand.NewPCG(1, 1)), Codec: codec, Log: zerolog.Nop(),
		State: p, Peers: []Peer{p.peers["b"], p.peers["c"]}, Shards: processShards{p}, Registrations: p, Observer: p,
	})
	return p
}

// newReadyProcess returns a process that has opened lease 7, has registered, has
// observed that there are no keys, and is not blocked by an extension that an earlier
// process may have granted.
func newReadyProcess(t *testing.T) *process {
	t.Helper()
	p := newProcess(t)
	p.Tick(p.now)
	p.leases[0](7)
	p.lists[0](nil, 1, nil)
	p.gets[0](storage.GetResult{})
	p.answerOldestTxn(storage.TxnResult{Outcome: storage.Applied, Revision: 2})
	if !p.Registered() || !p.ViewLoaded() || !p.LeaseValid(p.now) {
		t.Fatal("the process is not registered, or has no loaded view or no valid lease")
	}
	return p
}

// answerOldestTxn answers the oldest transaction that is not answered yet.
func (p *process) answerOldestTxn(result storage.TxnResult) {
	p.t.Helper()
	if len(p.txns) == 0 {
		p.t.Fatal("no transaction was sent")
	}
	txn := p.txns[0]
	p.txns = p.txns[1:]
	txn.done(result)
}

// holderValue returns the value of a key that a process of a member holds.
func (p *process) holderValue(member, nonce string) []byte {
	return p.codec.Encode(storage.Holder{Member: member, Nonce: nonce, RecordFormat: storage.CurrentRecordFormat})
}

// tickFor advances the clock by span in steps of 100 ms, with a Tick after each.
func (p *process) tickFor(span time.Duration) {
	for end := p.now + span; p.now < end; {
		p.now += 100 * time.Millisecond
		p.Tick(p.now)
	}
}

type processClock struct{ p *process }

func (c processClock) Now() time.Duration { return c.p.now }

func (p *process) Get(_ storage.Class, _ string, done func(storage.GetResult)) {
	p.gets = append(p.gets, done)
}

func (p *process) Txn(_ storage.Class, txn protocol.Transaction, done func(storage.TxnResult)) {
	p.txns = append(p.txns, fakeTxn{txn, done})
}

func (p *process) List(_ string, done storage.ListDone) {
	p.lists = append(p.lists, done)
}

func (p *process) Watch(string, uint64, time.Duration, func(protocol.WatchResponse, error)) {}

func (p *process) OpenLease(_ time.Duration, done func(lease uint64)) {
	p.leases = append(p.leases, done)
}

func (p *process) RenewLease(_ uint64, _ time.Duration, done func(storage.LeaseRenewal)) {
	p.renewals = append(p.renewals, done)
}

func (p *process) After(time.Duration, func()) {}

func (p *process) HeldShardsConfirmed() bool { return p.shardsConfirmed }

func (p *process) AllShardsRegistered() bool { return p.allRegistered }

func (p *process) LeadershipAcquired(uint64) { p.events = append(p.events, "leadership acquired") }

func (p *process) LeadershipLost() { p.events = append(p.events, "leadership lost") }

func (p *process) ViewChanged() {}

func (p *process) QuotaRecordChanged(string, []byte, uint64, bool) {}

func (p *process) KeysListed([]protocol.KeyValue) {}

// processShards implements Shards for a process.
type processShards struct{ p *process }

func (s processShards) Held() iter.Seq2[string, uint64] { return maps.All(s.p.heldShards) }

func (s processShards) KeyVersion(shard string) (version uint64, held bool) {
	version, held = s.p.heldShards[shard]
	return version, held
}

func (s processShards) Acquire(shard string, _, version uint64) {
	s.p.heldShards[shard] = version
	s.p.events = append(s.p.events, "acquired "+shard)
}

func (s processShards) Release(shard string, _ func(storage.TxnResult)) {
	delete(s.p.heldShards, shard)
	s.p.events = append(s.p.events, "released "+shard)
}

func (s processShards) RemoveLost(shard string) {
	delete(s.p.heldShards, shard)
	s.p.events = append(s.p.events, "lost "+shard)
}

func (s processShards) RemoveAll() {
	clear(s.p.heldShards)
	s.p.events = append(s.p.events, "lost all")
}

package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// How many jobs and how many orders go into one frame.
const (
	joinChunk  = 200
	orderChunk = 5000
)

// A frame may take a megabyte; job descriptions in one stay well below that, even
// if each names as many machine types as it may.
const (
	demandFrameBytes = 512 << 10
	demandBytes      = 256 // of a job's fields that have no names
)

// firstChunk is how many of the jobs go into one frame.
func firstChunk(jobs []*meshpb.JobSummary) int {
	size := 0
	for i, d := range jobs {
		size += demandBytes + len(d.Job) + len(d.Team) + len(d.Class) + len(d.Image) + len(d.Zone)
		for _, t := range d.Types {
			size += len(t)
		}
		if i == joinChunk || (i > 0 && size > demandFrameBytes) {
			return i
		}
	}
	return len(jobs)
}

// subscription is the owner's end of the leader's ordered stream of frames: what
// this process may conclude from it. It lasts as long as its link and its leader's
// token; a new one starts every clock anew.
type subscription struct {
	c       *Core
	from    *peer
	token   uint64
	names   []int32                  // this process's index of a machine, by the leader's
	heard   []subscribedMachine      // by this process's index
	start   map[string]int64         // per ledger, on the leader's clock
	orders  []*meshpb.MachineCommand // gathered for the leader
	sweepAt time.Duration

	lastStart int64 // the latest of start
}

// subscribedMachine is what this process has heard of a machine. Zone and images
// outlast the stream, in case this process leads next.
type subscribedMachine struct {
	named  bool   // on this stream
	remote uint32 // the leader's index
	zone   string
	at     int64 // on the leader's clock, of the last report on this stream
	before int64 // the same, of the last one that came earlier than that
	seen   time.Duration
	images []*meshpb.CachedImage
}

const nobody = int32(-1)

func (s *subscription) reset() {
	s.from, s.token, s.lastStart = nil, 0, 0
	s.start = make(map[string]int64)
	s.names, s.orders = nil, nil
	for i := range s.heard {
		s.heard[i].at, s.heard[i].before, s.heard[i].named = 0, 0, false
	}
	if s.c == nil {
		return
	}
	for _, l := range s.c.owner.ledgers {
		l.joined, l.number, l.settledUnchecked = false, 0, false
	}
	s.c.admission.lingering.detach()
}

// machine returns what is known of a machine by this process's index.
func (s *subscription) machine(m int32) *subscribedMachine {
	for int(m) >= len(s.heard) {
		s.heard = append(s.heard, subscribedMachine{})
	}
	return &s.heard[m]
}

// local returns this process's index for the leader's.
func (s *subscription) local(remote uint32) int32 {
	if int64(remote) >= int64(len(s.names)) {
		return nobody
	}
	return s.names[remote]
}

func (s *subscription) name(n *meshpb.MachineName) {
	if n.MachineIndex >= maxMachines {
		return
	}
	for int(n.MachineIndex) >= len(s.names) {
		s.names = append(s.names, nobody)
	}
	m := s.c.owner.machines.index(n.Name)
	s.names[n.MachineIndex] = m
	h := s.machine(m)
	h.named, h.remote, h.zone = true, n.MachineIndex, n.Zone
}

func (s *subscription) zoneOf(m int32) string { return s.machine(m).zone }

// joinedAll tells whether the leader has confirmed every ledger of this
// process that is ready.
func (s *subscription) joinedAll() bool {
	for _, l := range s.c.owner.ledgers {
		if l.ready && (!l.joined || s.start[l.name] <= 0) {
			return false
		}
	}
	return s.from != nil
}

// imagesOf is what the last leader knew to be cached on a machine.
func (s *subscription) imagesOf(name string) []*meshpb.CachedImage {
	if i, ok := s.c.owner.machines.byName[name]; ok {
		return s.machine(i).images
	}
	return nil
}

// join offers this process's ledgers to the member that leads now.
func (s *subscription) join() {
	c := s.c
	k := &c.session.leaderK
	var to *peer
	if k.present {
		to = c.peers[k.holder.Member]
		if k.holder.Member == c.cfg.Member {
			to = nil
			if c.leader != nil {
				to = c.self
			}
		}
	}
	if to == nil || to.link == nil {
		if s.from != nil {
			s.reset()
		}
		return
	}
	if s.from != to || s.token != k.stamp {
		s.reset()
		s.from, s.token = to, k.stamp
	}
	for _, l := range c.owner.ledgers {
		if l.ready && !l.joined && s.start[l.name] == 0 {
			s.joinLedger(l)
		}
	}
}

func (s *subscription) joinLedger(l *ownedLedger) {
	s.start[l.name] = -1 // asked for
	l.number, l.settledUnchecked = 0, false
	jobs := make([]*meshpb.JobSummary, 0, len(l.jobs))
	for _, j := range l.jobs {
		jobs = append(jobs, s.c.owner.demandOf(j, true))
		j.fresh = false
	}
	l.joined = true
	for {
		n := firstChunk(jobs)
		s.from.send(&meshpb.Frame{Body: &meshpb.Frame_RegisterShard{RegisterShard: &meshpb.RegisterShard{
			Shard: l.name, Version: l.records.Version(), FencingToken: s.token, Jobs: jobs[:n], More: n < len(jobs)}}})
		jobs = jobs[n:]
		if len(jobs) == 0 {
			return
		}
	}
}

func (s *subscription) onJoined(p *peer, j *meshpb.ShardRegistered) {
	if p != s.from || j.FencingToken != s.token || s.start[j.Shard] == 0 {
		return
	}
	s.start[j.Shard] = j.ClockUs
	s.lastStart = max(s.lastStart, j.ClockUs)
	if l := s.c.owner.ledgers[j.Shard]; l != nil {
		l.number = j.ShardNumber
	}
}

// onReports takes what the leader passes on of machines.
func (s *subscription) onReports(p *peer, f *meshpb.MachineStatuses) {
	if p != s.from {
		return
	}
	for _, n := range f.Names {
		s.name(n)
	}
	now := s.c.now()
	for _, r := range f.Statuses {
		m := s.local(r.MachineIndex)
		if m == nobody {
			continue
		}
		h := s.machine(m)
		if f.ClockUs > h.at {
			h.at, h.before = f.ClockUs, h.at
		}
		h.seen = now
		if r.ImagesIncluded {
			h.images = r.Images
		}
		s.c.owner.reported(m, r)
	}
}

// order asks the leader to stop or forget a copy.
func (s *subscription) order(m int32, job string, task uint32, attempt uint64, reap bool) {
	if h := s.machine(m); s.from != nil && h.named {
		s.orders = append(s.orders, &meshpb.MachineCommand{MachineIndex: h.remote, Job: job, Task: task, Replica: attempt, Reap: reap})
	}
}

// flushOrders sends what has gathered.
func (s *subscription) flushOrders() {
	for rest := s.orders; len(rest) > 0 && s.from != nil; rest = rest[min(len(rest), orderChunk):] {
		s.from.send(&meshpb.Frame{Body: &meshpb.Frame_MachineCommands{MachineCommands: &meshpb.MachineCommands{Commands: rest[:min(len(rest), orderChunk)]}}})
	}
	s.orders = nil
}

// onHeartbeat judges losses: a heartbeat tells that every report which the leader
// answered before it has been passed on already. A machine whose last report
// on this stream lies more than a lease before it has lost its lease.
func (s *subscription) onHeartbeat(p *peer, b *meshpb.PeerHeartbeat) {
	if p != s.from || b.FencingToken != s.token {
		return
	}
	for _, l := range s.c.owner.ledgers {
		if l.ready && (!l.joined || s.start[l.name] <= 0) {
			// The leader had not yet heard of its own election when the
			// first Join came, or this one crosses its answer: joining
			// twice only starts the clock later.
			s.joinLedger(l)
		}
	}
	span := s.c.leaseSpan().Microseconds()
	machines, tasks := 0, 0
	for m, refs := range s.c.owner.held {
		last := s.machine(m).at
		if b.ClockUs-last <= span {
			continue
		}
		var gone []taskRef
		for _, r := range refs {
			start := s.start[r.job.ledger.name]
			if start > 0 && b.ClockUs-max(last, start) > span {
				gone = append(gone, r)
			}
		}
		for _, r := range gone {
			s.c.owner.lost(r.job, r.task, lossLeaseOver)
		}
		if len(gone) > 0 {
			machines++
			tasks += len(gone)
		}
	}
	s.checkSettled(b.ClockUs)
	s.c.admission.lingering.leasesOver(b.ClockUs, span)
	if machines > 0 { // hundreds may be lost together: one line for all
		s.c.log.Info().Int("machines", machines).Int("tasks", tasks).Msg("machines lost, their leases are over")
	}
	s.sweep()
}

// sweep forgets machines that only earlier leaders told of.
func (s *subscription) sweep() {
	now := s.c.now()
	if now < s.sweepAt {
		return
	}
	s.sweepAt = now + time.Minute
	for name, m := range s.c.owner.machines.byName {
		if h := s.machine(m); !h.named && now-h.seen > tombstoneFor && len(s.c.owner.held[m]) == 0 && !s.c.admission.lingering.on(m) {
			*h = subscribedMachine{}
			s.c.owner.machines.release(name)
		}
	}
}

func (s *subscription) onGone(p *peer, g *meshpb.MachineTerminated) {
	if p != s.from {
		return
	}
	m, ok := s.c.owner.machines.byName[g.Name]
	if !ok {
		return
	}
	s.c.owner.machineGone(m)
	if h := s.machine(m); h.named {
		s.names[h.remote] = nobody
	}
	*s.machine(m) = subscribedMachine{}
	s.c.owner.machines.release(g.Name)
}

func (s *subscription) onSettled(p *peer, st *meshpb.Reconciled) {
	if p != s.from || st.FencingToken != s.token || s.start[st.Shard] <= 0 {
		return
	}
	if l := s.c.owner.ledgers[st.Shard]; l != nil {
		l.settledUnchecked = l.number == 0
		if !l.settled && !l.settledUnchecked {
			s.c.owner.settled(l)
		}
		if st.NoUnknownReplicas {
			s.c.admission.complete(l)
		}
	}
}

func (s *subscription) onUnplaced(p *peer, u *meshpb.ReturnedBindings) {
	if p == s.from {
		s.c.owner.putBack(u.Bindings)
	}
}

// onOffer answers with the tasks that go to the machine. An owner that may
// not act gives nothing away.
func (s *subscription) onOffer(p *peer, f *meshpb.Offer) {
	if p != s.from {
		return
	}
	c := s.c
	picks := &meshpb.Bindings{OfferId: f.Id}
	m := s.local(f.MachineIndex)
	may := m != nobody && c.session.mayAct(c.now())
	for _, it := range f.Items {
		j := c.owner.jobs[it.Job]
		if j == nil || !may {
			continue
		}
		picks.Bindings = append(picks.Bindings, c.owner.pick(j, int(it.Count), m, s.zoneOf(m), f.Epoch, f.Seq)...)
		picks.Jobs = append(picks.Jobs, c.owner.demandOf(j, false))
	}
	p.send(&meshpb.Frame{Body: &meshpb.Frame_Bindings{Bindings: picks}})
}

// silenceAfter is how long a machine may say nothing before it gets no more
// offers.
func (c *Core) silenceAfter() time.Duration {
	return seconds(c.cfg.Settings.Workers.HeartbeatIntervalS * c.tune.SilenceHeartbeats)
}

package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// How many jobs and how many orders go into one frame.
const (
	summariesPerFrame = 200
	commandsPerFrame  = 5000
)

// A frame may take a megabyte; job descriptions in one stay well below that, even
// if each names as many machine types as it may.
const (
	summaryFrameBytes = 512 << 10
	summaryBaseBytes  = 256 // of a job's fields that have no names
)

// summariesThatFit is how many of the jobs go into one frame.
func summariesThatFit(jobs []*meshpb.JobSummary) int {
	size := 0
	for i, d := range jobs {
		size += summaryBaseBytes + len(d.Job) + len(d.Team) + len(d.Class) + len(d.Image) + len(d.Zone)
		for _, t := range d.Types {
			size += len(t)
		}
		if i == summariesPerFrame || (i > 0 && size > summaryFrameBytes) {
			return i
		}
	}
	return len(jobs)
}

// subscription is the owner's end of the leader's ordered stream of frames: what
// this process may conclude from it. It lasts as long as its link and its leader's
// token; a new one starts every clock anew.
type subscription struct {
	c              *Controller
	leader         *peer
	fencingToken   uint64
	localIndexes   []int32                  // this process's index of a machine, by the leader's
	machines       []subscribedMachine      // by this process's index
	registeredAtUs map[string]int64         // per ledger, on the leader's clock
	commands       []*meshpb.MachineCommand // gathered for the leader
	nextSweepAt    time.Duration

	lastRegisteredAtUs int64 // the latest of start
}

// subscribedMachine is what this process has heard of a machine. Zone and images
// outlast the stream, in case this process leads next.
type subscribedMachine struct {
	named         bool   // on this stream
	leaderIndex   uint32 // the leader's index
	zone          string
	heardAtUs     int64 // on the leader's clock, of the last report on this stream
	heardBeforeUs int64 // the same, of the last one that came earlier than that
	lastSeen      time.Duration
	images        []*meshpb.CachedImage
}

const unknownMachine = int32(-1)

func (s *subscription) reset() {
	s.leader, s.fencingToken, s.lastRegisteredAtUs = nil, 0, 0
	s.registeredAtUs = make(map[string]int64)
	s.localIndexes, s.commands = nil, nil
	for i := range s.machines {
		s.machines[i].heardAtUs, s.machines[i].heardBeforeUs, s.machines[i].named = 0, 0, false
	}
	if s.c == nil {
		return
	}
	for _, shard := range s.c.owner.shards {
		shard.registered, shard.leaderNumber, shard.reconciledUnchecked = false, 0, false
	}
	s.c.admission.orphans.detachAll()
}

// machine returns what is known of a machine by this process's index.
func (s *subscription) machine(machine int32) *subscribedMachine {
	for int(machine) >= len(s.machines) {
		s.machines = append(s.machines, subscribedMachine{})
	}
	return &s.machines[machine]
}

// localIndex returns this process's index for the leader's.
func (s *subscription) localIndex(remote uint32) int32 {
	if int64(remote) >= int64(len(s.localIndexes)) {
		return unknownMachine
	}
	return s.localIndexes[remote]
}

func (s *subscription) nameMachine(n *meshpb.MachineName) {
	if n.MachineIndex >= maxMachines {
		return
	}
	for int(n.MachineIndex) >= len(s.localIndexes) {
		s.localIndexes = append(s.localIndexes, unknownMachine)
	}
	machine := s.c.owner.machines.index(n.Name)
	s.localIndexes[n.MachineIndex] = machine
	h := s.machine(machine)
	h.named, h.leaderIndex, h.zone = true, n.MachineIndex, n.Zone
}

func (s *subscription) zoneOf(machine int32) string { return s.machine(machine).zone }

// allRegistered tells whether the leader has confirmed every ledger of this
// process that is ready.
func (s *subscription) allRegistered() bool {
	for _, shard := range s.c.owner.shards {
		if shard.recovered && (!shard.registered || s.registeredAtUs[shard.name] <= 0) {
			return false
		}
	}
	return s.leader != nil
}

// imagesOf is what the last leader knew to be cached on a machine.
func (s *subscription) imagesOf(name string) []*meshpb.CachedImage {
	if i, ok := s.c.owner.machines.byName[name]; ok {
		return s.machine(i).images
	}
	return nil
}

// registerShards offers this process's ledgers to the member that leads now.
func (s *subscription) registerShards() {
	c := s.c
	leadership, known := c.election.Leader()
	var to *peer
	if known {
		to = c.peers[leadership.Member]
		if leadership.Member == c.cfg.Member {
			to = nil
			if c.leader != nil {
				to = c.selfPeer
			}
		}
	}
	if to == nil || to.link == nil {
		if s.leader != nil {
			s.reset()
		}
		return
	}
	if s.leader != to || s.fencingToken != leadership.FencingToken {
		s.reset()
		s.leader, s.fencingToken = to, leadership.FencingToken
	}
	for _, shard := range c.owner.shards {
		if shard.recovered && !shard.registered && s.registeredAtUs[shard.name] == 0 {
			s.registerShard(shard)
		}
	}
}

func (s *subscription) registerShard(shard *ownedShard) {
	s.registeredAtUs[shard.name] = -1 // asked for
	shard.leaderNumber, shard.reconciledUnchecked = 0, false
	jobs := make([]*meshpb.JobSummary, 0, len(shard.jobs))
	for _, job := range shard.jobs {
		jobs = append(jobs, s.c.owner.jobSummary(job, true))
		job.specUnsent = false
	}
	shard.registered = true
	for {
		n := summariesThatFit(jobs)
		s.leader.send(&meshpb.Frame{Body: &meshpb.Frame_RegisterShard{RegisterShard: &meshpb.RegisterShard{
			Shard: shard.name, Version: shard.records.Version(), FencingToken: s.fencingToken, Jobs: jobs[:n], More: n < len(jobs)}}})
		jobs = jobs[n:]
		if len(jobs) == 0 {
			return
		}
	}
}

func (s *subscription) onShardRegistered(p *peer, answer *meshpb.ShardRegistered) {
	if p != s.leader || answer.FencingToken != s.fencingToken || s.registeredAtUs[answer.Shard] == 0 {
		return
	}
	s.registeredAtUs[answer.Shard] = answer.ClockUs
	s.lastRegisteredAtUs = max(s.lastRegisteredAtUs, answer.ClockUs)
	if shard := s.c.owner.shards[answer.Shard]; shard != nil {
		shard.leaderNumber = answer.ShardNumber
	}
}

// onMachineStatuses takes what the leader passes on of machines.
func (s *subscription) onMachineStatuses(p *peer, f *meshpb.MachineStatuses) {
	if p != s.leader {
		return
	}
	for _, n := range f.Names {
		s.nameMachine(n)
	}
	now := s.c.now()
	for _, r := range f.Statuses {
		machine := s.localIndex(r.MachineIndex)
		if machine == unknownMachine {
			continue
		}
		h := s.machine(machine)
		if f.ClockUs > h.heardAtUs {
			h.heardAtUs, h.heardBeforeUs = f.ClockUs, h.heardAtUs
		}
		h.lastSeen = now
		if r.ImagesIncluded {
			h.images = r.Images
		}
		s.c.owner.onMachineStatus(machine, r)
	}
}

// command asks the leader to stop or forget a copy.
func (s *subscription) command(machine int32, job string, task uint32, attempt uint64, reap bool) {
	if h := s.machine(machine); s.leader != nil && h.named {
		s.commands = append(s.commands, &meshpb.MachineCommand{MachineIndex: h.leaderIndex, Job: job, Task: task, Replica: attempt, Reap: reap})
	}
}

// flushCommands sends what has gathered.
func (s *subscription) flushCommands() {
	for rest := s.commands; len(rest) > 0 && s.leader != nil; rest = rest[min(len(rest), commandsPerFrame):] {
		s.leader.send(&meshpb.Frame{Body: &meshpb.Frame_MachineCommands{MachineCommands: &meshpb.MachineCommands{Commands: rest[:min(len(rest), commandsPerFrame)]}}})
	}
	s.commands = nil
}

// onPeerHeartbeat judges losses: a heartbeat tells that every report which the leader
// answered before it has been passed on already. A machine whose last report
// on this stream lies more than a lease before it has lost its lease.
func (s *subscription) onPeerHeartbeat(p *peer, b *meshpb.PeerHeartbeat) {
	if p != s.leader || b.FencingToken != s.fencingToken {
		return
	}
	for _, shard := range s.c.owner.shards {
		if shard.recovered && (!shard.registered || s.registeredAtUs[shard.name] <= 0) {
			// The leader had not yet heard of its own election when the
			// first Join came, or this one crosses its answer: joining
			// twice only starts the clock later.
			s.registerShard(shard)
		}
	}
	span := s.c.workerLeaseTimeout().Microseconds()
	machines, tasks := 0, 0
	for machine, refs := range s.c.owner.replicas {
		last := s.machine(machine).heardAtUs
		if b.ClockUs-last <= span {
			continue
		}
		var gone []taskRef
		for _, r := range refs {
			start := s.registeredAtUs[r.job.shard.name]
			if start > 0 && b.ClockUs-max(last, start) > span {
				gone = append(gone, r)
			}
		}
		for _, r := range gone {
			s.c.owner.replicaLost(r.job, r.task, lossLeaseExpired)
		}
		if len(gone) > 0 {
			machines++
			tasks += len(gone)
		}
	}
	s.checkReconciled(b.ClockUs)
	s.c.admission.orphans.releaseExpired(b.ClockUs, span)
	if machines > 0 { // hundreds may be lost together: one line for all
		s.c.log.Info().Int("machines", machines).Int("tasks", tasks).Msg("machines lost, their leases are over")
	}
	s.forgetUnnamedMachines()
}

// forgetUnnamedMachines forgets machines that only earlier leaders told of.
func (s *subscription) forgetUnnamedMachines() {
	now := s.c.now()
	if now < s.nextSweepAt {
		return
	}
	s.nextSweepAt = now + time.Minute
	for name, machine := range s.c.owner.machines.byName {
		if h := s.machine(machine); !h.named && now-h.lastSeen > tombstoneTTL && len(s.c.owner.replicas[machine]) == 0 && !s.c.admission.orphans.mayHold(machine) {
			*h = subscribedMachine{}
			s.c.owner.machines.release(name)
		}
	}
}

func (s *subscription) onMachineTerminated(p *peer, g *meshpb.MachineTerminated) {
	if p != s.leader {
		return
	}
	machine, ok := s.c.owner.machines.byName[g.Name]
	if !ok {
		return
	}
	s.c.owner.machineTerminated(machine)
	if h := s.machine(machine); h.named {
		s.localIndexes[h.leaderIndex] = unknownMachine
	}
	*s.machine(machine) = subscribedMachine{}
	s.c.owner.machines.release(g.Name)
}

func (s *subscription) onReconciled(p *peer, st *meshpb.Reconciled) {
	if p != s.leader || st.FencingToken != s.fencingToken || s.registeredAtUs[st.Shard] <= 0 {
		return
	}
	if shard := s.c.owner.shards[st.Shard]; shard != nil {
		shard.reconciledUnchecked = shard.leaderNumber == 0
		if !shard.reconciled && !shard.reconciledUnchecked {
			s.c.owner.reconciled(shard)
		}
		if st.NoUnknownReplicas {
			s.c.admission.onReconciled(shard)
		}
	}
}

func (s *subscription) onReturnedBindings(p *peer, u *meshpb.ReturnedBindings) {
	if p == s.leader {
		s.c.owner.returnBindings(u.Bindings)
	}
}

// onOffer answers with the tasks that go to the machine. An owner that may
// not act gives nothing away.
func (s *subscription) onOffer(p *peer, f *meshpb.Offer) {
	if p != s.leader {
		return
	}
	c := s.c
	picks := &meshpb.Bindings{OfferId: f.Id}
	machine := s.localIndex(f.MachineIndex)
	may := machine != unknownMachine && c.election.MayAct(c.now())
	for _, it := range f.Items {
		job := c.owner.jobs[it.Job]
		if job == nil || !may {
			continue
		}
		picks.Bindings = append(picks.Bindings, c.owner.bindTasks(job, int(it.Count), machine, s.zoneOf(machine), f.Epoch, f.Seq)...)
		picks.Jobs = append(picks.Jobs, c.owner.jobSummary(job, false))
	}
	p.send(&meshpb.Frame{Body: &meshpb.Frame_Bindings{Bindings: picks}})
}

// silenceAfter is how long a machine may say nothing before it gets no more
// offers.
func (c *Controller) silenceAfter() time.Duration {
	return seconds(c.cfg.Settings.Workers.HeartbeatIntervalS * c.tuning.SilenceHeartbeats)
}

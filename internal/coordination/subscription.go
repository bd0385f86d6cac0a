package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/shard"
)

// How many jobs and how many commands go into one frame.
const (
	maxSummariesPerFrame = 200
	maxCommandsPerFrame  = 5000
)

// A frame may take a megabyte; job descriptions in one stay well below that, even
// if each names as many machine types as it may.
const (
	maxSummaryFrameBytes = 512 << 10
	summaryBaseBytes     = 256 // of a job's fields that have no names
)

// countSummariesThatFit is how many of the jobs go into one frame.
func countSummariesThatFit(jobs []*meshpb.JobSummary) int {
	size := 0
	for i, d := range jobs {
		size += summaryBaseBytes + len(d.Job) + len(d.Team) + len(d.Class) + len(d.Image) + len(d.Zone)
		for _, t := range d.Types {
			size += len(t)
		}
		if i == maxSummariesPerFrame || (i > 0 && size > maxSummaryFrameBytes) {
			return i
		}
	}
	return len(jobs)
}

// subscription is the owner's end of the leader's ordered stream of frames. It tells
// whose frames count, and decides nothing else. It lasts as long as its link and its
// leader's fencing token.
type subscription struct {
	controller   *Controller
	leader       *peer
	fencingToken uint64
}

func (s *subscription) reset() {
	s.leader, s.fencingToken = nil, 0
	s.controller.owner.ResetStream()
}

// allRegistered tells whether the leader has confirmed every shard of this
// process that is recovered.
func (s *subscription) allRegistered() bool {
	return s.controller.owner.AllRegistrationsConfirmed() && s.leader != nil
}

// registerShards offers this process's shards to the member that leads now.
func (s *subscription) registerShards() {
	c := s.controller
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
	for held := range c.owner.UnregisteredShards() {
		s.registerShard(held)
	}
}

// registerShard tells the leader of a shard and its jobs.
func (s *subscription) registerShard(held *shard.Shard) {
	jobs := s.controller.owner.BeginRegistration(held)
	for {
		n := countSummariesThatFit(jobs)
		s.leader.send(&meshpb.Frame{Body: &meshpb.Frame_RegisterShard{RegisterShard: &meshpb.RegisterShard{
			Shard: held.Name(), Version: held.KeyVersion(), FencingToken: s.fencingToken, Jobs: jobs[:n], More: n < len(jobs)}}})
		jobs = jobs[n:]
		if len(jobs) == 0 {
			return
		}
	}
}

func (s *subscription) handleShardRegistered(p *peer, answer *meshpb.ShardRegistered) {
	if p == s.leader && answer.FencingToken == s.fencingToken {
		s.controller.owner.ConfirmRegistration(answer)
	}
}

func (s *subscription) handleMachineStatuses(p *peer, f *meshpb.MachineStatuses) {
	if p == s.leader {
		s.controller.owner.HandleMachineStatuses(f)
	}
}

// publishSummaries tells the leader what has changed of a shard's jobs.
func (s *subscription) publishSummaries(shard string, jobs []*meshpb.JobSummary) {
	if s.leader == nil || s.leader.link == nil {
		return
	}
	for len(jobs) > 0 {
		n := countSummariesThatFit(jobs)
		s.leader.send(&meshpb.Frame{Body: &meshpb.Frame_JobSummaries{JobSummaries: &meshpb.JobSummaries{Shard: shard, Jobs: jobs[:n]}}})
		jobs = jobs[n:]
	}
}

// flushCommands sends what has gathered.
func (s *subscription) flushCommands() {
	for rest := s.controller.owner.TakeCommands(); len(rest) > 0 && s.leader != nil; rest = rest[min(len(rest), maxCommandsPerFrame):] {
		s.leader.send(&meshpb.Frame{Body: &meshpb.Frame_MachineCommands{MachineCommands: &meshpb.MachineCommands{Commands: rest[:min(len(rest), maxCommandsPerFrame)]}}})
	}
}

// handlePeerHeartbeat has losses judged by the leader's clock: a heartbeat tells that every
// machine's which the leader answered before it has been passed on already.
func (s *subscription) handlePeerHeartbeat(p *peer, b *meshpb.PeerHeartbeat) {
	if p != s.leader || b.FencingToken != s.fencingToken {
		return
	}
	for held := range s.controller.owner.UnconfirmedShards() {
		// The leader had not yet heard of its own election when the first
		// registration came, or this one crosses its answer: registering twice
		// only starts the clock later.
		s.registerShard(held)
	}
	s.controller.owner.ExpireLeases(b.ClockUs)
}

func (s *subscription) handleMachineTerminated(p *peer, f *meshpb.MachineTerminated) {
	if p == s.leader {
		s.controller.owner.HandleMachineTerminated(f.Name)
	}
}

func (s *subscription) handleReconciled(p *peer, f *meshpb.Reconciled) {
	if p == s.leader && f.FencingToken == s.fencingToken {
		s.controller.owner.HandleReconciled(f)
	}
}

func (s *subscription) handleReturnedBindings(p *peer, f *meshpb.ReturnedBindings) {
	if p == s.leader {
		s.controller.owner.ReturnBindings(f.Bindings)
	}
}

// handleOffer answers with the tasks that go to the machine. An owner that may
// not act gives nothing away.
func (s *subscription) handleOffer(p *peer, f *meshpb.Offer) {
	if p != s.leader {
		return
	}
	bindings := &meshpb.Bindings{OfferId: f.Id}
	if s.controller.election.MayAct(s.controller.now()) {
		s.controller.owner.Bind(f, bindings)
	}
	p.send(&meshpb.Frame{Body: &meshpb.Frame_Bindings{Bindings: bindings}})
}

// silenceLimit is how long a machine may say nothing before it gets no more
// offers.
func (c *Controller) silenceLimit() time.Duration {
	return seconds(c.cfg.Settings.Workers.HeartbeatIntervalS * c.tuning.SilenceHeartbeats)
}

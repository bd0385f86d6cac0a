package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/shard"
)

// Limits on the numbers of job summaries and of commands in one frame.
const (
	maxSummariesPerFrame = 200
	maxCommandsPerFrame  = 5000
)

// A frame has at most 1 MB. Its job summaries stay well below that, even if each names as
// many machine types as is allowed.
const (
	maxSummaryFrameBytes = 512 << 10
	summaryBaseBytes     = 256 // allowance for a job's fields that are not strings
)

// countSummariesThatFit returns how many of the jobs, from the first on, fit into one
// frame.
func countSummariesThatFit(jobs []*meshpb.JobSummary) int {
	size := 0
	for i, job := range jobs {
		size += summaryBaseBytes + len(job.Job) + len(job.Team) + len(job.Class) + len(job.Image) + len(job.Zone)
		for _, machineType := range job.Types {
			size += len(machineType)
		}
		if i == maxSummariesPerFrame || (i > 0 && size > maxSummaryFrameBytes) {
			return i
		}
	}
	return len(jobs)
}

// subscription is the owner's end of the leader's ordered stream of frames. It decides
// which member's frames are accepted, and nothing else. It ends when its link goes down
// or the leader or its fencing token changes.
type subscription struct {
	controller   *Controller
	leader       *peer
	fencingToken uint64
}

func (s *subscription) reset() {
	s.leader, s.fencingToken = nil, 0
	s.controller.owner.ResetStream()
}

// allRegistered reports whether a leader is known and has confirmed every shard that
// this process has recovered.
func (s *subscription) allRegistered() bool {
	return s.controller.owner.AllRegistrationsConfirmed() && s.leader != nil
}

// registerShards registers this process's shards with the member that leads now, and
// resets the subscription if the leader changed or is not connected.
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

// registerShard sends the leader the registration of a shard with its jobs.
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

// publishSummaries sends the leader the summaries of a shard's changed jobs.
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

// flushCommands sends the queued commands to the leader.
func (s *subscription) flushCommands() {
	for rest := s.controller.owner.TakeCommands(); len(rest) > 0 && s.leader != nil; rest = rest[min(len(rest), maxCommandsPerFrame):] {
		s.leader.send(&meshpb.Frame{Body: &meshpb.Frame_MachineCommands{MachineCommands: &meshpb.MachineCommands{Commands: rest[:min(len(rest), maxCommandsPerFrame)]}}})
	}
}

// handlePeerHeartbeat expires the leases of machines by the leader's clock. Frames are in
// order, so every machine heartbeat that the leader answered before it sent this peer
// heartbeat has already been passed on to this process.
func (s *subscription) handlePeerHeartbeat(p *peer, heartbeat *meshpb.PeerHeartbeat) {
	if p != s.leader || heartbeat.FencingToken != s.fencingToken {
		return
	}
	for held := range s.controller.owner.UnconfirmedShards() {
		// The first registration arrived before the leader knew of its own election,
		// or its answer is still on the way. In the latter case registering twice is
		// harmless: lease timeouts of the shard's replicas then count from a later time.
		s.registerShard(held)
	}
	s.controller.owner.ExpireLeases(heartbeat.ClockUs)
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

// handleOffer answers an offer with the tasks that the owner binds to the machine. An
// owner that may not act binds none.
func (s *subscription) handleOffer(p *peer, offer *meshpb.Offer) {
	if p != s.leader {
		return
	}
	bindings := &meshpb.Bindings{OfferId: offer.Id}
	if s.controller.election.MayAct(s.controller.now()) {
		s.controller.owner.Bind(offer, bindings)
	}
	p.send(&meshpb.Frame{Body: &meshpb.Frame_Bindings{Bindings: bindings}})
}

// silenceLimit returns how long a machine may send no heartbeat before it gets no more
// offers.
func (c *Controller) silenceLimit() time.Duration {
	return seconds(c.cfg.Settings.Workers.HeartbeatIntervalS * c.tuning.MaxMissedHeartbeats)
}

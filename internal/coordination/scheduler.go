package coordination

import (
	"iter"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/priority"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// scheduler decides what a machine that sends a heartbeat does next: which of its
// tasks are stopped, and which owners are offered its free resources.
//
// It owns the scheduling order, the reservations, the open offers and the choice
// of tasks to stop. It starts no tasks: owners bind tasks to the offered resources,
// and the leader sends the start commands.
type scheduler struct {
	settings          *settings.Settings
	tuning            *settings.Tuning
	wallMs            func() int64 // Unix time in milliseconds
	schedulable       func(*machine, time.Duration) bool
	runTime           func(*meshpb.JobSummary) time.Duration
	unfinishedJobs    iter.Seq[*trackedJob]
	updateImageDemand func(now time.Duration)
	warmPool          *warmPool

	placement    placement
	queue        pendingQueue
	reservations reservations
	offers       offerTable
	preemptor    preemptor
	drainer      drainer
}

// rebuildQueue rebuilds the scheduling order, if that is due, after updating the
// demand for images, on which the order depends. It then renews the reservations,
// which depend on the order.
func (s *scheduler) rebuildQueue(now time.Duration) {
	if !s.queue.rebuildDue(now) {
		return
	}
	s.updateImageDemand(now)
	s.queue.rebuild(s.unfinishedJobs, s.wallMs(), now)
	s.reservations.renew(s.queue.overdueJobs, now)
}

// orderKeyOf returns a job's position in the scheduling order at a Unix time in
// milliseconds.
func (s *scheduler) orderKeyOf(job *trackedJob, wallMs int64) priority.Key {
	return priority.KeyOf(priority.Job{
		Class:       job.spec.Class,
		Priority:    job.priority,
		Started:     job.started,
		SubmittedMs: job.spec.SubmittedMs,
		DeadlineMs:  job.spec.DeadlineMs,
		RunTime:     s.runTime(job.spec),
	}, wallMs, s.settings.Objectives)
}

// stopTasks adds to a response the commands that stop tasks on its machine: those that
// are preempted or, if the machine is being drained, those that have to leave it.
func (s *scheduler) stopTasks(m *machine, response *pendingResponse, now time.Duration) {
	if !s.schedulable(m, now) {
		response.addStopCommands(m, s.drainer.selectVictims(m, now))
		return
	}
	if s.preemptor.shortageDue(now) {
		s.rebuildQueue(now)
		s.preemptor.findShortage(now)
	}
	response.addStopCommands(m, s.preemptor.chooseVictims(m, now))
}

// addStopCommands adds commands that stop tasks, after a checkpoint if they write
// checkpoints. The commands are repeated until the machine reports the tasks as ended.
func (r *pendingResponse) addStopCommands(m *machine, victims []*replicaOnMachine) {
	for _, replica := range victims {
		key, graceS := replica.key, 0.0
		if replica.job.spec.CheckpointIntervalS > 0 {
			graceS = replica.job.spec.CheckpointDurationS + checkpointMarginS
		}
		m.setOwnerCommand(&meshpb.MachineCommand{MachineIndex: m.index, Job: key.job, Task: key.task, Replica: key.replica, GraceS: graceS})
		r.commands = append(r.commands, replica.newStop(graceS))
	}
}

// makeOffers offers a machine's free resources to the owners of pending tasks.
func (s *scheduler) makeOffers(m *machine, response *pendingResponse, now time.Duration) {
	if !s.schedulable(m, now) {
		return
	}
	s.warmPool.addIfNeeded(m, now)
	s.rebuildQueue(now)
	queue := s.queue.byKind[m.machineKind]
	if queue == nil || !queue.mayFit(m.free) {
		return
	}
	m.offeringResponse = response
	s.offerFreeResources(m, queue, response, now)
	m.offeringResponse = nil
	s.offers.send(response)
}

// offerFreeResources offers a machine's free resources task by task, each time to the
// job that is first in the scheduling order given what the teams use by then.
func (s *scheduler) offerFreeResources(m *machine, queue *machineKindQueue, response *pendingResponse, now time.Duration) {
	free := m.free
	queues := queue.candidateQueues(m)
	heads := make([]*trackedJob, len(queues))
	for i, q := range queues {
		heads[i] = s.queue.firstOfferable(q, &s.placement, m, free, now)
	}
	for range s.tuning.StartsPerResponse {
		job := firstServed(heads)
		if job == nil {
			return
		}
		free.subtract(job.spec)
		if m.spot {
			job.image.spotFree.subtract(job.spec)
		}
		s.offerTask(response, job)
		for i, q := range queues {
			if heads[i] != nil && !s.placement.canOffer(heads[i], m, free, now) {
				heads[i] = s.queue.firstOfferable(q, &s.placement, m, free, now)
			}
		}
	}
}

// firstServed returns the job that is first in the scheduling order, or nil if all are
// nil.
func firstServed(jobs []*trackedJob) *trackedJob {
	var first *trackedJob
	for _, job := range jobs {
		if job != nil && (first == nil || job.servedBefore(first)) {
			first = job
		}
	}
	return first
}

// offerTask adds one task of a job to the offers. Once a task of an overdue job is on
// offer, the job no longer precedes all others.
func (s *scheduler) offerTask(response *pendingResponse, job *trackedJob) {
	s.offers.add(response, job)
	if job.orderKey.Overdue {
		job.unsentOverdueStarts++
		job.orderKey = s.orderKeyOf(&trackedJob{spec: job.spec, priority: job.priority, started: true}, s.wallMs())
	}
}

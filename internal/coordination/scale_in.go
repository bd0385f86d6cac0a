package coordination

import (
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	// minChargedTime is for how long the cloud charges a machine at the least.
	minChargedTime = 60 * time.Second
	// listLagFactor is by how many times the lag that the cloud states its lists
	// may be late.
	listLagFactor = 4.0
	// endedJobLimitDivisor: a machine may run a task of an ended job for this part
	// of the time in which a cancelled job has to be stopped.
	endedJobLimitDivisor = 3
	// onDemandIdleDivisor: ordinary machines, which cost several times as much,
	// may be idle for this part of the time of spot ones.
	onDemandIdleDivisor = 2
)

// machinesToRelease returns the names of the machines to release, in order: idle
// ones, quarantined and reclaimed ones once they are empty, those whose boot has
// failed, and silent ones, whose release is proof of their end sooner than their
// lease.
func (a *autoscaler) machinesToRelease(in *autoscalerInput) []string {
	var names []string
	for m := range a.machines.all {
		if m.terminated {
			if listed, ok := a.inventory.Listed(m.name); ok && listed.Status == cloud.StatusFailed && !m.terminateInFlight {
				names = append(names, m.name)
			}
			continue
		}
		if !m.terminating && a.shouldRelease(m, in) {
			m.terminating = true
		}
		if m.terminating && !m.terminateInFlight && m.pendingResponse == nil {
			names = append(names, m.name)
		}
	}
	sort.Strings(names)
	return names
}

// shouldRelease tells whether a machine should be released now. An idle one counts
// no more for its type.
func (a *autoscaler) shouldRelease(m *machine, in *autoscalerInput) bool {
	t := a.inventory.Type(m.typeName)
	switch {
	case a.missingFromCloud(m, in.now):
		return true
	case !m.heartbeatSeen:
		return a.bootFailed(m, t, in.now)
	case a.runsEndedJob(m, in.now):
		return true
	}
	if silence := a.silenceBeyondLimit(m, in); silence > 0 {
		return a.silentTooLong(m, t, silence, in.now)
	}
	if !m.empty() {
		return false
	}
	if m.quarantined || m.reclaimAt > 0 {
		return true
	}
	if !a.idleTooLong(m, in) {
		return false
	}
	a.counts.machinesByType[m.typeName]--
	return true
}

// bootFailed tells whether a machine should have sent a heartbeat by now. It is
// charged until it is released.
func (a *autoscaler) bootFailed(m *machine, t *protocol.MachineType, now time.Duration) bool {
	return t != nil && m.createdAt != 0 && now-m.createdAt > bootTimeout(t) && now-a.electedAt > a.firstHeartbeatTimeout()
}

// firstHeartbeatTimeout is the time in which machines that are up have sent a
// heartbeat to a new leader. With long intervals it is more than a boot's grace:
// machines that had sent none by then were taken for failed boots, and released
// with their tasks.
func (a *autoscaler) firstHeartbeatTimeout() time.Duration {
	return max(bootTimeoutGrace, seconds(heartbeatJitterFactor*a.settings.Workers.HeartbeatIntervalS)+leaderSearchTime)
}

// runsEndedJob tells whether a machine still runs a task of a job that ended long
// ago, although every heartbeat response stops it: whatever the cause, releasing
// the machine ends the task in time (rule ran_cancelled).
func (a *autoscaler) runsEndedJob(m *machine, now time.Duration) bool {
	limit := seconds(a.settings.Workers.CancelS / endedJobLimitDivisor)
	for i := range m.tasks {
		replica := &m.tasks[i]
		if replica.state != protocol.TaskExited && replica.job != nil && replica.job.ended && now-replica.job.endedAt > limit {
			return true
		}
	}
	return false
}

// silenceBeyondLimit is how long beyond the limit no heartbeat has shown that
// responses reach a machine.
func (a *autoscaler) silenceBeyondLimit(m *machine, in *autoscalerInput) time.Duration {
	return in.now - max(m.lastReachable, in.actingSince) - a.silenceLimit
}

// silentTooLong tells whether a silent machine is rather replaced than waited for.
func (a *autoscaler) silentTooLong(m *machine, t *protocol.MachineType, silence, now time.Duration) bool {
	if a.missingFromList(m) {
		return true
	}
	leaseTimeout := a.leaseTimeout
	if now-m.lastHeartbeat <= a.silenceLimit {
		// Its heartbeats arrive, but nothing shows that responses reach it. Most such
		// machines only try one controller after another and are well in a moment;
		// one that hears nothing loses its tasks with its lease anyhow.
		return silence > leaseTimeout
	}
	if !a.counts.partitionedZones[m.zone] {
		return len(m.tasks)+len(m.sentStarts) > 0 || silence > leaseTimeout
	}
	return silence > leaseTimeout+replacementTime(m, t)
}

// missingFromList tells whether the cloud's list lacks a machine that it should
// have by now: most likely the machine was taken away without notice. That is no
// proof of its end, since lists may be older than the cloud states; its release
// is, sooner than its lease.
func (a *autoscaler) missingFromList(m *machine) bool {
	listedAt := a.inventory.ListedAt()
	if _, ok := a.inventory.Listed(m.name); ok || m.createdAt == 0 || listedAt <= max(m.lastHeartbeat, a.electedAt) {
		return false
	}
	return listedAt-m.createdAt > seconds(listLagFactor*a.settings.Cloud.ListLagS)
}

// replacementTime is how long a new machine takes to be what a silent one is: it
// boots and fetches the images that pending work needs. Machines that fall silent
// together are most likely cut off, and so long they are cheaper to wait for than
// to replace.
func replacementTime(m *machine, t *protocol.MachineType) time.Duration {
	if t == nil {
		return 0
	}
	longest := seconds(t.BootS)
	for i := range m.images {
		if im := m.images[i].image; im.hasPending {
			longest = max(longest, seconds(t.BootS)+fetchTime(im, t))
		}
	}
	return longest
}

// idleTooLong tells whether an empty machine is neither needed nor worth keeping.
func (a *autoscaler) idleTooLong(m *machine, in *autoscalerInput) bool {
	idleLimit := a.tuning.IdleBeforeScaleIn
	if !m.spot {
		idleLimit /= onDemandIdleDivisor
	}
	switch {
	case m.neededByPendingTasks || m.inWarmPool:
		return false
	case in.now-m.idleSince <= idleLimit || in.now-m.createdAt <= minChargedTime:
		return false
	case m.spot && a.counts.machinesByType[m.typeName] <= in.forecastMachines[m.typeName]:
		return false
	}
	return true
}

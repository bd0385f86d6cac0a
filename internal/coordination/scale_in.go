package coordination

import (
	"sort"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	// minChargedTime is the least time for which the cloud charges a machine.
	minChargedTime = 60 * time.Second
	// listLagFactor times the lag that the cloud states for its machine lists is the lag that
	// they are assumed to have at most.
	listLagFactor = 4.0
	// endedJobLimitDivisor limits how long a machine may run a task of an ended job: the time
	// within which a cancelled job has to be stopped, divided by this.
	endedJobLimitDivisor = 3
	// onDemandIdleDivisor limits how long an on-demand machine may be idle: the limit of spot
	// machines, divided by this, since on-demand machines cost several times as much.
	onDemandIdleDivisor = 2
)

// machinesToRelease returns the sorted names of the machines to release: idle ones,
// quarantined and reclaimed ones once they are empty, those whose boot has failed, and
// silent ones, whose confirmed release proves their tasks lost sooner than the lease
// timeout does.
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

// shouldRelease reports whether a machine should be released now. If that is because the
// machine is idle, the machine no longer counts in machinesByType.
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

// bootFailed reports whether a machine that has sent no heartbeat should have sent one by
// now. Such a machine is charged until it is released.
func (a *autoscaler) bootFailed(m *machine, t *protocol.MachineType, now time.Duration) bool {
	return t != nil && m.createdAt != 0 && now-m.createdAt > bootTimeout(t) && now-a.electedAt > a.firstHeartbeatTimeout()
}

// firstHeartbeatTimeout returns the time after an election within which every running
// machine has sent the new leader a heartbeat. With long heartbeat intervals this exceeds
// bootTimeoutGrace; with the grace alone, running machines would be taken for failed boots
// and released with their tasks.
func (a *autoscaler) firstHeartbeatTimeout() time.Duration {
	return max(bootTimeoutGrace, seconds(heartbeatJitterFactor*a.settings.Workers.HeartbeatIntervalS)+leaderSearchTime)
}

// runsEndedJob reports whether a machine still runs a task of a job that ended longer ago
// than the limit, although every heartbeat response tells it to stop the task. Whatever the
// cause, releasing the machine ends the task in time (rule ran_cancelled).
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

// silenceBeyondLimit returns a machine's silence less the silence limit. The silence is the
// time since a heartbeat last showed that responses reach the machine, or since actingSince
// if that is later. The result is negative while the silence is below the limit.
func (a *autoscaler) silenceBeyondLimit(m *machine, in *autoscalerInput) time.Duration {
	return in.now - max(m.lastReachable, in.actingSince) - a.silenceLimit
}

// silentTooLong reports whether a silent machine should be released rather than waited for.
func (a *autoscaler) silentTooLong(m *machine, t *protocol.MachineType, silence, now time.Duration) bool {
	if a.missingFromList(m) {
		return true
	}
	leaseTimeout := a.machineLeaseTimeout
	if now-m.lastHeartbeat <= a.silenceLimit {
		// Its heartbeats arrive, but nothing shows that responses reach it. Most such
		// machines are trying one controller after another and will soon get a response; one
		// that gets none loses its tasks anyway when its lease expires.
		return silence > leaseTimeout
	}
	if !a.counts.partitionedZones[m.zone] {
		return len(m.tasks)+len(m.sentStarts) > 0 || silence > leaseTimeout
	}
	return silence > leaseTimeout+replacementTime(m, t)
}

// missingFromList reports whether the cloud's list lacks a machine that it should have by
// now: most likely the machine was terminated without notice. That does not prove it, since
// lists may be older than the cloud states; a confirmed release does, sooner than the lease
// timeout.
func (a *autoscaler) missingFromList(m *machine) bool {
	listedAt := a.inventory.ListedAt()
	if _, ok := a.inventory.Listed(m.name); ok || m.createdAt == 0 || listedAt <= max(m.lastHeartbeat, a.electedAt) {
		return false
	}
	return listedAt-m.createdAt > seconds(listLagFactor*a.settings.Cloud.ListLagS)
}

// replacementTime returns how long a new machine takes to replace a silent one: it boots and
// fetches the slowest of the silent machine's images that pending tasks need. Machines that
// fall silent together are most likely partitioned, and for that long it is cheaper to wait
// for them than to replace them.
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

// idleTooLong reports whether an empty machine should be released: it is needed neither by
// pending tasks nor by the warm pool or the forecast, has been idle beyond the limit, and
// the least time that the cloud charges has passed.
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

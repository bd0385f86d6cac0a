package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// Every running machine finds a new leader within leaderSearchTime, and then sends a heartbeat
// within heartbeatJitterFactor times the heartbeat interval.
const (
	heartbeatJitterFactor = 1.25
	leaderSearchTime      = 2 * time.Second
)

// MachinesListed applies the cloud's machine list. Lists lag and may go back in time, so a
// missing machine proves nothing, but one listed as failed is proven terminated.
func (l *leader) MachinesListed(machines []protocol.ListedMachine, now time.Duration) {
	for _, listed := range machines {
		m := l.machines.add(listed.ID)
		if m == nil {
			continue
		}
		if !m.heartbeatSeen {
			m.machineKind = machineKind{listed.Type, listed.Zone, listed.Spot}
		}
		if listed.Status == cloud.StatusFailed {
			l.markTerminated(m)
		}
	}
	l.autoscaler.recordCreationTimes(now)
}

// missingFromCloud reports whether a machine known only from an earlier leader's record seems
// to be gone: it has sent no heartbeat within the time in which every running machine has,
// and a list read since the election lacks it. Most likely it was terminated before the last
// leader's term ended. Terminating it once more proves that it is gone; until then the tasks
// of recovered shards wait for it.
func (l *leader) missingFromCloud(m *machine, now time.Duration) bool {
	if m.heartbeatSeen || !m.recordedByEarlierLeader || l.env.cloud.ListedAt() <= l.electedAt {
		return false
	}
	_, inList := l.env.cloud.Listed(m.name)
	return !inList && now-l.electedAt > seconds(heartbeatJitterFactor*l.env.settings.Workers.HeartbeatIntervalS)+leaderSearchTime
}

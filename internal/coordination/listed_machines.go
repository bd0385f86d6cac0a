package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// In heartbeatJitterFactor times their interval all machines that are up have sent a
// heartbeat, once they have found a new leader.
const (
	heartbeatJitterFactor = 1.25
	leaderSearchTime      = 2 * time.Second
)

// MachinesListed takes in the cloud's machine list. Lists lag and may go back in
// time, so a machine that is missing proves nothing; one that has failed is proof.
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
	l.autoscaler.onMachineList(now)
}

// missingFromCloud tells whether a machine that only an earlier leader's record names
// is not to be found: it has sent no heartbeat within the time in which all others
// have, and the present list lacks it. Most likely it was terminated before the last
// leader's term ended; terminating it once more is proof. Until then a recovered
// shard's tasks wait for it.
func (l *leader) missingFromCloud(m *machine, now time.Duration) bool {
	if m.heartbeatSeen || !m.recordedByEarlierLeader || l.env.cloud.ListedAt() <= l.electedAt {
		return false
	}
	_, inList := l.env.cloud.Listed(m.name)
	return !inList && now-l.electedAt > seconds(heartbeatJitterFactor*l.env.settings.Workers.HeartbeatIntervalS)+leaderSearchTime
}

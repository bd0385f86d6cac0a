package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
	"github.com/cobaltvale/cobaltvale/internal/protocol"
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

package coordination

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
)

// scaleOutcomes applies what becomes of the requests for machines and of their
// release: to the machine table, and to what is known of the kinds. It is the
// observer of the leader's cloud.Scaler.
type scaleOutcomes struct {
	machines       *machineTable
	kinds          *kindSelector
	log            *zerolog.Logger
	markTerminated func(*machine)
}

// MachinesCreated makes new machines known.
func (o *scaleOutcomes) MachinesCreated(kind cloud.Kind, names []string, now time.Duration) {
	for _, name := range names {
		m := o.machines.add(name)
		if m == nil {
			continue
		}
		if !m.heartbeatSeen {
			m.machineKind = machineKindOf(kind)
		}
		if m.createdAt == 0 {
			m.createdAt = now
		}
	}
}

// KindRefused keeps a kind from being requested for a while.
func (o *scaleOutcomes) KindRejected(kind cloud.Kind, why cloud.RejectReason, until time.Duration) {
	o.kinds.markKindUnavailable(machineKindOf(kind), until)
	if why == cloud.MalformedRequest {
		o.log.Error().Str("machine_type", kind.Type).Str("zone", kind.Zone).Msg("scale-out request rejected")
	}
}

// ReleaseSent keeps machines from being released twice.
func (o *scaleOutcomes) ReleaseSent(names []string) {
	for _, name := range names {
		o.machines.get(name).terminateInFlight = true
	}
}

// ReleaseConfirmed ends machines: that the cloud has released them is proof.
func (o *scaleOutcomes) ReleaseConfirmed(names []string) {
	for _, name := range names {
		if m := o.machines.get(name); m != nil {
			o.markTerminated(m)
		}
	}
}

// ReleaseFailed has machines released again.
func (o *scaleOutcomes) ReleaseFailed(names []string) {
	for _, name := range names {
		if m := o.machines.get(name); m != nil {
			m.terminateInFlight = false
		}
	}
}

// machineKindOf is a kind as the cloud's requests name it.
func machineKindOf(kind cloud.Kind) machineKind {
	return machineKind{kind.Type, kind.Zone, kind.Spot}
}

// cloudKind is the kind as the cloud's requests name it.
func (k machineKind) cloudKind() cloud.Kind {
	return cloud.Kind{Type: k.typeName, Zone: k.zone, Spot: k.spot}
}

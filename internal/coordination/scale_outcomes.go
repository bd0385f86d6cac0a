package coordination

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/cloud"
)

// scaleOutcomes applies the outcomes of scale-out and release requests to the machine table
// and to the kind selector. It is the observer of the leader's cloud.Scaler.
type scaleOutcomes struct {
	machines       *machineTable
	kinds          *kindSelector
	log            *zerolog.Logger
	markTerminated func(*machine)
}

// MachinesCreated adds new machines to the machine table.
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

// KindRejected marks a kind as unavailable until a time, so that it is not requested.
func (o *scaleOutcomes) KindRejected(kind cloud.Kind, reason cloud.RejectReason, until time.Duration) {
	o.kinds.markKindUnavailable(machineKindOf(kind), until)
	if reason == cloud.MalformedRequest {
		o.log.Error().Str("machine_type", kind.Type).Str("zone", kind.Zone).Msg("scale-out request rejected")
	}
}

// ReleaseSent records that the release of machines was requested, so that it is not
// requested twice.
func (o *scaleOutcomes) ReleaseSent(names []string) {
	for _, name := range names {
		o.machines.get(name).terminateInFlight = true
	}
}

// ReleaseConfirmed marks machines as terminated: the cloud's confirmation is proof.
func (o *scaleOutcomes) ReleaseConfirmed(names []string) {
	for _, name := range names {
		if m := o.machines.get(name); m != nil {
			o.markTerminated(m)
		}
	}
}

// ReleaseFailed records that the outcome of a release request is unknown, so that the
// release is requested again.
func (o *scaleOutcomes) ReleaseFailed(names []string) {
	for _, name := range names {
		if m := o.machines.get(name); m != nil {
			m.terminateInFlight = false
		}
	}
}

// machineKindOf converts a kind of the cloud's requests.
func machineKindOf(kind cloud.Kind) machineKind {
	return machineKind{kind.Type, kind.Zone, kind.Spot}
}

// cloudKind converts the kind for the cloud's requests.
func (k machineKind) cloudKind() cloud.Kind {
	return cloud.Kind{Type: k.typeName, Zone: k.zone, Spot: k.spot}
}

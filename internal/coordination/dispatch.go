package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

// dispatch passes a member's frame to the part of the controller that handles it.
// Frames of unknown types, which a later version may send, are ignored.
func (c *Controller) dispatch(from *peer, frame *meshpb.Frame) {
	switch body := frame.Body.(type) {
	case *meshpb.Frame_PeerHeartbeat:
		c.handlePeerHeartbeat(from, body.PeerHeartbeat)
	case *meshpb.Frame_ShardRegistered, *meshpb.Frame_MachineStatuses, *meshpb.Frame_Offer,
		*meshpb.Frame_ReturnedBindings, *meshpb.Frame_MachineTerminated, *meshpb.Frame_Reconciled:
		c.subscription.dispatch(from, frame)
	case *meshpb.Frame_RegisterShard, *meshpb.Frame_JobSummaries, *meshpb.Frame_Bindings, *meshpb.Frame_MachineCommands:
		if c.leader != nil {
			c.leader.dispatch(from, frame)
		}
	case *meshpb.Frame_Handover, *meshpb.Frame_UptimeRequest, *meshpb.Frame_UptimeResponse,
		*meshpb.Frame_LeaseExtensionRequest, *meshpb.Frame_LeaseExtension:
		c.dispatchToElection(from, frame)
	case *meshpb.Frame_JobQuery:
		c.handleJobQuery(from, body.JobQuery)
	case *meshpb.Frame_JobQueryResult:
		c.userAPI.HandleJobQueryResult(from.member, body.JobQueryResult)
	case *meshpb.Frame_ForwardedHeartbeats:
		c.handleForwardedHeartbeats(from, body.ForwardedHeartbeats)
	case *meshpb.Frame_HeartbeatResponses:
		c.forwarder.handleResponses(from, body.HeartbeatResponses)
	case *meshpb.Frame_QuotaDemands:
		c.handleQuotaDemands(from, body.QuotaDemands)
	}
}

// dispatch handles the frames that a leader sends to the owners of shards.
func (s *subscription) dispatch(from *peer, frame *meshpb.Frame) {
	switch body := frame.Body.(type) {
	case *meshpb.Frame_ShardRegistered:
		s.handleShardRegistered(from, body.ShardRegistered)
	case *meshpb.Frame_MachineStatuses:
		s.handleMachineStatuses(from, body.MachineStatuses)
	case *meshpb.Frame_Offer:
		s.handleOffer(from, body.Offer)
	case *meshpb.Frame_ReturnedBindings:
		s.handleReturnedBindings(from, body.ReturnedBindings)
	case *meshpb.Frame_MachineTerminated:
		s.handleMachineTerminated(from, body.MachineTerminated)
	case *meshpb.Frame_Reconciled:
		s.handleReconciled(from, body.Reconciled)
	}
}

// dispatch handles the frames that the owners of shards send to their leader.
func (l *leader) dispatch(from *peer, frame *meshpb.Frame) {
	switch body := frame.Body.(type) {
	case *meshpb.Frame_RegisterShard:
		l.handleRegisterShard(from, body.RegisterShard)
	case *meshpb.Frame_JobSummaries:
		l.handleJobSummaries(from, body.JobSummaries)
	case *meshpb.Frame_Bindings:
		l.handleBindings(from, body.Bindings)
	case *meshpb.Frame_MachineCommands:
		l.handleMachineCommands(from, body.MachineCommands)
	}
}

// dispatchToElection handles the requests and responses that members exchange about
// the keys that they hold.
func (c *Controller) dispatchToElection(from *peer, frame *meshpb.Frame) {
	switch body := frame.Body.(type) {
	case *meshpb.Frame_Handover:
		c.election.HandleHandover(from.member, body.Handover.Shard)
	case *meshpb.Frame_UptimeRequest:
		from.sendUptime(c.now() - c.startedAt)
	case *meshpb.Frame_UptimeResponse:
		c.election.HandleUptime(from.member, time.Duration(body.UptimeResponse.UptimeUs)*time.Microsecond)
	case *meshpb.Frame_LeaseExtensionRequest:
		from.sendLeaseExtension(c.election.HandleExtensionRequest(from.member, body.LeaseExtensionRequest))
	case *meshpb.Frame_LeaseExtension:
		c.election.HandleExtension(from.member, body.LeaseExtension)
	}
}

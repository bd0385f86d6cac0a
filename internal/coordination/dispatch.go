package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
)

func (c *Controller) dispatch(p *peer, f *meshpb.Frame) {
	switch b := f.Body.(type) {
	case *meshpb.Frame_PeerHeartbeat:
		p.stateServiceReachable = b.PeerHeartbeat.StateOk
		if p != c.selfPeer {
			c.forwarder.peerLoad[p] = b.PeerHeartbeat.Load
		}
		if b.PeerHeartbeat.LeaderOk {
			c.election.ObserveLeader(p.member, b.PeerHeartbeat.FencingToken)
			c.subscription.onPeerHeartbeat(p, b.PeerHeartbeat)
		}
	case *meshpb.Frame_ShardRegistered:
		c.subscription.onShardRegistered(p, b.ShardRegistered)
	case *meshpb.Frame_MachineStatuses:
		c.subscription.onMachineStatuses(p, b.MachineStatuses)
	case *meshpb.Frame_Offer:
		c.subscription.onOffer(p, b.Offer)
	case *meshpb.Frame_ReturnedBindings:
		c.subscription.onReturnedBindings(p, b.ReturnedBindings)
	case *meshpb.Frame_MachineTerminated:
		c.subscription.onMachineTerminated(p, b.MachineTerminated)
	case *meshpb.Frame_Reconciled:
		c.subscription.onReconciled(p, b.Reconciled)
	case *meshpb.Frame_RegisterShard:
		if c.leader != nil {
			c.leader.onRegisterShard(p, b.RegisterShard)
		}
	case *meshpb.Frame_JobSummaries:
		if c.leader != nil {
			c.leader.onJobSummaries(p, b.JobSummaries)
		}
	case *meshpb.Frame_Bindings:
		if c.leader != nil {
			c.leader.onBindings(p, b.Bindings)
		}
	case *meshpb.Frame_MachineCommands:
		if c.leader != nil {
			c.leader.onMachineCommands(p, b.MachineCommands)
		}
	case *meshpb.Frame_JobQuery:
		c.userAPI.onJobQuery(p, b.JobQuery)
	case *meshpb.Frame_JobQueryResult:
		c.userAPI.onJobQueryResult(p, b.JobQueryResult)
	case *meshpb.Frame_Handover:
		c.election.HandleHandover(p.member, b.Handover.Shard)
	case *meshpb.Frame_UptimeRequest:
		p.send(&meshpb.Frame{Body: &meshpb.Frame_UptimeResponse{UptimeResponse: &meshpb.UptimeResponse{UptimeUs: (c.now() - c.startedAt).Microseconds()}}})
	case *meshpb.Frame_UptimeResponse:
		c.election.HandleUptime(p.member, time.Duration(b.UptimeResponse.UptimeUs)*time.Microsecond)
	case *meshpb.Frame_LeaseExtensionRequest:
		extension := c.election.HandleExtensionRequest(p.member, b.LeaseExtensionRequest)
		p.send(&meshpb.Frame{Body: &meshpb.Frame_LeaseExtension{LeaseExtension: extension}})
	case *meshpb.Frame_ForwardedHeartbeats:
		c.onForwardedHeartbeats(p, b.ForwardedHeartbeats)
	case *meshpb.Frame_HeartbeatResponses:
		c.forwarder.onResponses(p, b.HeartbeatResponses)
	case *meshpb.Frame_QuotaDemands:
		c.admission.onDemands(p, b.QuotaDemands)
	case *meshpb.Frame_LeaseExtension:
		c.election.HandleExtension(p.member, b.LeaseExtension)
	}
}

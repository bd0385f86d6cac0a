package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/admission"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// newAdmission returns the admission control, which admits tasks within their teams'
// limits. With quota.escrow it sets the record format in this process's identity. Other
// members read the identity in the keys that this process holds and so know that it
// divides limits among shards.
func (c *Controller) newAdmission() (*admission.Control, error) {
	if c.tuning.QuotaEscrow {
		c.identity.RecordFormat = storage.QuotaRecordFormat
	}
	shards := []string{c.cfg.Member}
	for _, p := range c.cfg.Peers {
		shards = append(shards, p.Member)
	}
	return admission.New(admission.Config{
		Enabled: c.tuning.QuotaEscrow, Shards: shards, Teams: c.cfg.Settings.Teams,
		TransferInterval: c.tuning.QuotaTransferInterval, MaxTxnOps: c.cfg.Settings.State.Effective().TxnOps,
		RecordStore: c.store, Codec: c.codec, Clock: c.env.Clock, Wall: c.env.Wall, Log: c.log, Audit: c.env.Audit,
		BroadcastDemands: c.broadcastQuotaDemands,
	})
}

func (c *Controller) tickAdmission(now time.Duration) {
	if c.admission.Enabled() {
		c.admission.Tick(now, admission.TickConditions{AllMembersDivideLimits: c.election.AllMembersDivideLimits(),
			MayAct: c.election.MayAct(now), LeaseValid: c.election.LeaseValid(now)})
	}
}

func (c *Controller) broadcastQuotaDemands(f *meshpb.QuotaDemands) {
	for _, p := range c.peers {
		p.send(&meshpb.Frame{Body: &meshpb.Frame_QuotaDemands{QuotaDemands: f}})
	}
}

// handleQuotaDemands handles the demands for quota of another member's shards.
func (c *Controller) handleQuotaDemands(p *peer, f *meshpb.QuotaDemands) {
	holds := func(shard string) bool {
		holder, held := c.election.ShardHolder(shard)
		return held && holder == p.member
	}
	p.lastQuotaSequence = c.admission.HandleDemands(admission.Sender{Member: p.member, LastSequence: p.lastQuotaSequence, HoldsShard: holds}, f)
}

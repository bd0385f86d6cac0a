package coordination

import (
	"time"

	"github.com/cobaltvale/cobaltvale/internal/admission"
	"github.com/cobaltvale/cobaltvale/internal/protocol/meshpb"
	"github.com/cobaltvale/cobaltvale/internal/storage"
)

// newAdmission makes what admits tasks against their teams' limits. With quota.escrow
// this process says in the keys that it holds that it divides limits.
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
		Records: c.store, Codec: c.codec, Clock: c.env.Clock, Wall: c.env.Wall, Log: c.log, Audit: c.env.Audit,
		Broadcast: c.broadcastQuotaDemands,
	})
}

func (c *Controller) tickAdmission(now time.Duration) {
	if c.admission.Enabled() {
		c.admission.Tick(now, admission.Entitlement{AllDivideLimits: c.election.AllMembersDivideLimits(),
			MayAct: c.election.MayAct(now), LeaseValid: c.election.LeaseValid(now)})
	}
}

func (c *Controller) broadcastQuotaDemands(f *meshpb.QuotaDemands) {
	for _, p := range c.peers {
		p.send(&meshpb.Frame{Body: &meshpb.Frame_QuotaDemands{QuotaDemands: f}})
	}
}

// handleQuotaDemands takes what another member's shards lack.
func (c *Controller) handleQuotaDemands(p *peer, f *meshpb.QuotaDemands) {
	holds := func(shard string) bool {
		holder, held := c.election.ShardHolder(shard)
		return held && holder == p.member
	}
	p.lastQuotaSequence = c.admission.OnDemands(admission.Sender{Member: p.member, LastSequence: p.lastQuotaSequence, Holds: holds}, f)
}

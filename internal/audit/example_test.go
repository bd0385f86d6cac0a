package audit_test

import (
	"fmt"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// Two controllers admit 6 of 8 CPUs each, which together exceeds the team's limit.
func ExampleVerify() {
	limit := quota.LimitOf(8, 0)
	admitted := func(shard, job string) *audit.Stream {
		return &audit.Stream{Name: shard + ".audit", HasLastSegment: true, Records: []audit.Record{{
			Seq: 1, Kind: audit.Admitted, Shard: shard, Team: "north", Job: job,
			Amount: quota.AmountOf(6, 0), SpentAfter: quota.AmountOf(6, 0), Allocation: limit, Limit: limit,
		}}}
	}
	report := audit.Verify([]*audit.Stream{admitted("ctl-0", "wk-1"), admitted("ctl-1", "wk-2")}, 5*time.Second)
	for _, finding := range report.Findings {
		fmt.Println(finding.Kind, finding.Team)
	}
	// Output: overshoot north
}

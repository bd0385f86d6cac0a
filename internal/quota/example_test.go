package quota_test

import (
	"fmt"

	"github.com/cobaltvale/cobaltvale/internal/quota"
)

// A controller admits a team's tasks only out of the allocation that the team's record gives to
// the shard that it holds.
func ExampleManager() {
	limit := quota.LimitOf(8, 0)
	manager := quota.New(quota.Config{Shards: []string{"ctl-0"}, Teams: []quota.Team{{Name: "north", Limit: limit}}, TeamsPerTransfer: 1})
	manager.SetEnforced(true)
	manager.AddHeldShard("ctl-0", 1)
	manager.ObserveRecord("north", quota.Record{Shares: map[string]quota.Share{"ctl-0": {Allocation: quota.AmountOf(4, 0), Limit: limit}}}, 2)
	manager.MarkRecordsFresh("ctl-0")
	manager.MarkReconciled("ctl-0")
	for range 3 {
		fmt.Println(manager.Admit("ctl-0", "north", quota.AmountOf(2, 0)))
	}
	// Output:
	// true
	// true
	// false
}

func ExampleAmountOf() {
	task, limit := quota.AmountOf(0.5, 1), quota.LimitOf(2, 0)
	fmt.Println(task, task.Mul(4).Within(limit), task.Mul(5).Within(limit))
	// Output: {500 1000} true false
}

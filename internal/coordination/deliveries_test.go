package coordination

import (
	"testing"
	"time"
)

func TestDeliveryOfResponses(t *testing.T) {
	const connection = 5
	for _, c := range []struct {
		name       string
		machine    machine
		connection uint64
		gap        time.Duration
		want       delivery
	}{
		{"fencing token for the first time", machine{}, 0, time.Second, deliveryProven},
		{"same connection", machine{lastCurrentHeartbeat: 1, responseConnection: connection}, connection, time.Second, deliveryProven},
		{"unknown connections", machine{lastCurrentHeartbeat: 1}, 0, time.Second, deliveryUnknown},
		{"another connection, within the retry delay", machine{lastCurrentHeartbeat: 1, responseConnection: connection}, connection + 1, maxRetryDelay, deliveryUnknown},
		{"another connection, after the retry delay", machine{lastCurrentHeartbeat: 1, responseConnection: connection}, connection + 1, maxRetryDelay + 1, deliveryPresumed},
		{"presumed before", machine{lastCurrentHeartbeat: 1, responseConnection: connection, reachabilityPresumed: true}, connection + 1, maxRetryDelay + 1, deliveryUnknown},
		{"presumed before, then proven", machine{lastCurrentHeartbeat: 1, responseConnection: connection, reachabilityPresumed: true}, connection, time.Second, deliveryProven},
	} {
		t.Run(c.name, func(t *testing.T) {
			const now = time.Hour
			var d deliveryTracker
			m := c.machine
			requireEqual(t, "delivery", d.observeHeartbeat(&m, c.connection, c.gap, now), c.want)
			requireEqual(t, "last reachable now", m.lastReachable == now, c.want != deliveryUnknown)
			requireEqual(t, "last proof now", d.sinceLastProof(now) == 0, c.want == deliveryProven)
		})
	}
}

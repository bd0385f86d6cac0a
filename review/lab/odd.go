//go:build review

package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// odd sends submissions at the bounds of what a field may hold, and malformed ones.
func odd(l *lab, trouble bool) int {
	for i := range l.nodes {
		_ = l.startNode(i)
	}
	l.cloud.mu.Lock()
	l.cloud.capacity = 6
	for range 4 {
		l.cloud.add(l.cfg.zones[0], false, true)
	}
	l.cloud.mu.Unlock()
	if !l.waitReady(10 * time.Second) {
		return 2
	}
	base := l.addJob(&job{id: "wk-000001", team: "south-desk", tasks: 4, cpus: 3, gb: 10, run: 20 * time.Second})
	l.submit(base, 0)
	numbers := []any{0.0, 1e-9, 1e12, 1e9, 1e6, 0.1, 1.0, math.Inf(1), math.NaN(), -1.0, uint64(1) << 63, nil, "x", true, []any{}}
	strs := []any{"", "a", nil, 5, "wk-000001", "\x00", "é\"\\", fmt.Sprintf("%0120d", 1), fmt.Sprintf("%0121d", 1)}
	accepted := map[int]int{}
	k := 1000
	send := func(field string, v any) {
		k++
		id := fmt.Sprintf("wk-%06d", k)
		m := map[string]any{"nameId": id, "desk": "page-render", "crew": "north-desk", "form": "batch", "urgency": "urgent", "pages": 2,
			"vcpus": 1.0, "cards": 0.0, "ramGb": 1.0, "plate": "img-07", "imageGb": 0.5, "breeds": nil, "hall": nil, "together": false, "apart": false,
			"loaners": true, "expectedS": 5.0, "proofEveryS": 0.0, "proofS": 0.0, "pressByS": nil}
		m[field] = v
		if rand.IntN(2) == 0 {
			m["form"] = "service"
			m["expectedS"] = 0.0
			m[field] = v
		}
		l.addJob(&job{id: id, team: "north-desk", tasks: 2, cpus: 1, run: 3 * time.Second})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		status, _ := post(ctx, l.users, "http://"+l.api[k%3]+"/submissions", l.codec.Encode(m))
		accepted[status]++
		l.record("odd: %s=%v: %d", field, v, status)
	}
	for _, f := range []string{"vcpus", "cards", "ramGb", "imageGb", "expectedS", "proofEveryS", "proofS", "pressByS", "pages"} {
		for _, v := range numbers {
			send(f, v)
		}
	}
	for _, f := range []string{"nameId", "desk", "crew", "form", "urgency", "plate", "hall", "breeds", "together", "apart", "loaners"} {
		for _, v := range strs {
			send(f, v)
		}
	}
	for range 300 {
		b := make([]byte, rand.IntN(200))
		for i := range b {
			b[i] = byte(rand.IntN(256))
		}
		if len(b) > 0 {
			b[0] = 0xa0 | b[0]&0x1f
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		status, _ := post(ctx, l.users, "http://"+l.api[rand.IntN(3)]+"/submissions", b)
		accepted[status]++
		cancel()
	}
	l.checkAlive()
	fmt.Println(accepted)
	last := l.addJob(&job{id: "wk-000002", team: "south-desk", tasks: 4, cpus: 1, run: 5 * time.Second})
	l.submit(last, 1)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && last.calledDone.IsZero(); time.Sleep(time.Second) {
		l.poll(last, 0)
		l.checkAlive()
	}
	fmt.Println("last done:", !last.calledDone.IsZero(), "base done:", len(base.done))
	return l.finish()
}

package standin

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	leastBetween = 500 * time.Millisecond // reports of changes
	retryReport  = time.Second
	giveUpReport = 4 * time.Second
	taskTick     = 20 * time.Millisecond
)

// worker is one machine. It follows the protocol's rules for tokens and commands;
// its lease does not end by itself.
type worker struct {
	codec   *protocol.Codec
	client  *http.Client
	history *History
	name    string
	nodes   map[string]string // addresses by member
	order   []string
	at      int // of the member that it reports to
	every   time.Duration
	seq     uint64
	token   uint64
	tasks   map[string]*workerTask
	keys    []string
	sent    time.Time
}

type workerTask struct {
	job     *Job
	name    string
	attempt uint64
	state   string
	cause   any
	ends    time.Time
}

// run reports until ctx ends.
func (k *worker) run(ctx context.Context) {
	ticker := time.NewTicker(taskTick)
	defer ticker.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if k.endTasks(now) {
				next = minTime(next, k.sent.Add(leastBetween))
			}
			if now.Before(next) {
				continue
			}
		}
		k.sent = time.Now()
		next = k.sent.Add(k.every*3/4 + rand.N(k.every/2))
		if again := k.report(ctx); again > 0 {
			next = time.Now().Add(again)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// endTasks ends the tasks whose time is over.
func (k *worker) endTasks(now time.Time) bool {
	any := false
	for _, t := range k.tasks {
		if t.state == "running" && now.After(t.ends) {
			t.state, t.cause, any = "ended", "done", true
			k.history.end(t.job, t.name)
		}
	}
	return any
}

func (k *worker) body() []byte {
	k.seq++
	pages := []any{}
	for _, key := range k.keys {
		t := k.tasks[key]
		pages = append(pages, map[string]any{"page": t.name, "try": t.attempt, "status": t.state, "cause": t.cause})
	}
	return k.codec.Encode(map[string]any{"roost": k.name, "address": "127.0.0.1:1", "breed": machineType, "hall": zone, "loaners": false,
		"perch": 1, "tick": k.seq, "baton": k.token, "recallInS": nil, "pages": pages})
}

// report sends one report, and returns when the next is due sooner than usual.
func (k *worker) report(ctx context.Context) time.Duration {
	member := k.order[k.at%len(k.order)]
	ctx, cancel := context.WithTimeout(ctx, giveUpReport)
	defer cancel()
	status, body := post(ctx, k.client, "http://"+k.nodes[member]+"/checkin", k.body())
	switch status {
	case 200:
		if before := k.token; k.obey(body) && k.token != before {
			return leastBetween
		}
		return 0
	case 421:
		var to protocol.Redirect
		if k.codec.Decode(body, &to) == nil && k.nodes[to.HeartbeatTo] != "" && to.HeartbeatTo != member {
			for i, name := range k.order {
				if name == to.HeartbeatTo {
					k.at = i
				}
			}
			return time.Millisecond
		}
	}
	k.at++
	return retryReport
}

// obey carries out an answer, unless its token is old.
func (k *worker) obey(body []byte) bool {
	var a protocol.HeartbeatResponse
	if k.codec.Decode(body, &a) != nil || a.FencingToken < k.token {
		return false
	}
	k.token = a.FencingToken
	for _, c := range a.Commands {
		key := c.Task + "#" + strconv.FormatUint(c.Replica, 10)
		t := k.tasks[key]
		switch {
		case c.Op == protocol.CommandStart && t == nil:
			id, _, _ := strings.Cut(c.Task, "/")
			j := k.history.job(id)
			if j == nil {
				continue
			}
			k.tasks[key] = &workerTask{job: j, name: c.Task, attempt: c.Replica, state: "running", ends: time.Now().Add(j.Runs)}
			k.keys = append(k.keys, key)
			k.history.start(j, c.Task, k.name)
		case c.Op == protocol.CommandStop && t != nil && t.state == "running":
			t.state, t.cause = "ended", "halted"
			k.history.end(t.job, t.name)
		case c.Op == protocol.CommandReap && t != nil && t.state == "ended":
			k.forget(key)
		}
	}
	return true
}

func (k *worker) forget(key string) {
	delete(k.tasks, key)
	for i, x := range k.keys {
		if x == key {
			k.keys = append(k.keys[:i], k.keys[i+1:]...)
			return
		}
	}
}

// post sends a request and returns the answer, or a status of 0.
func post(ctx context.Context, client *http.Client, url string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

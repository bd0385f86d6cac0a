package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const (
	minHeartbeatInterval = 500 * time.Millisecond // heartbeats of changes
	heartbeatRetryDelay  = time.Second
	heartbeatTimeout     = 4 * time.Second
	taskCheckInterval    = 20 * time.Millisecond
)

// worker is one machine. It follows the protocol's rules for fencing tokens and commands;
// its lease does not end by itself.
type worker struct {
	codec             *protocol.Codec
	client            *http.Client
	history           *History
	name              string
	apiAddresses      map[string]string // addresses by member
	members           []string
	memberIndex       int // of the member that it sends heartbeats to
	heartbeatInterval time.Duration
	sequence          uint64
	fencingToken      uint64
	tasks             map[string]*workerTask
	taskKeys          []string
	lastSentAt        time.Time
}

type workerTask struct {
	job        *Job
	name       string
	replica    uint64
	state      string
	exitReason any
	endsAt     time.Time
}

// run sends heartbeats until ctx ends.
func (w *worker) run(ctx context.Context) {
	ticker := time.NewTicker(taskCheckInterval)
	defer ticker.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if w.endTasks(now) {
				next = minTime(next, w.lastSentAt.Add(minHeartbeatInterval))
			}
			if now.Before(next) {
				continue
			}
		}
		w.lastSentAt = time.Now()
		next = w.lastSentAt.Add(w.heartbeatInterval*3/4 + rand.N(w.heartbeatInterval/2))
		if again := w.sendHeartbeat(ctx); again > 0 {
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
func (w *worker) endTasks(now time.Time) bool {
	any := false
	for _, t := range w.tasks {
		if t.state == "running" && now.After(t.endsAt) {
			t.state, t.exitReason, any = "ended", "done", true
			w.history.recordEnd(t.job, t.name)
		}
	}
	return any
}

func (w *worker) nextHeartbeatBody() []byte {
	w.sequence++
	pages := []any{}
	for _, key := range w.taskKeys {
		t := w.tasks[key]
		pages = append(pages, map[string]any{"page": t.name, "try": t.replica, "status": t.state, "cause": t.exitReason})
	}
	return w.codec.Encode(map[string]any{"roost": w.name, "address": "127.0.0.1:1", "breed": machineType, "hall": zone, "loaners": false,
		"perch": 1, "tick": w.sequence, "baton": w.fencingToken, "recallInS": nil, "pages": pages})
}

// heartbeat sends one heartbeat, and returns when the next is due sooner than usual.
func (w *worker) sendHeartbeat(ctx context.Context) time.Duration {
	member := w.members[w.memberIndex%len(w.members)]
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	status, body := post(ctx, w.client, "http://"+w.apiAddresses[member]+"/checkin", w.nextHeartbeatBody())
	switch status {
	case 200:
		if before := w.fencingToken; w.applyResponse(body) && w.fencingToken != before {
			return minHeartbeatInterval
		}
		return 0
	case 421:
		var to protocol.Redirect
		if w.codec.Decode(body, &to) == nil && w.apiAddresses[to.HeartbeatTo] != "" && to.HeartbeatTo != member {
			for i, name := range w.members {
				if name == to.HeartbeatTo {
					w.memberIndex = i
				}
			}
			return time.Millisecond
		}
	}
	w.memberIndex++
	return heartbeatRetryDelay
}

// execute carries out an answer, unless its fencing token is old.
func (w *worker) applyResponse(body []byte) bool {
	var a protocol.HeartbeatResponse
	if w.codec.Decode(body, &a) != nil || a.FencingToken < w.fencingToken {
		return false
	}
	w.fencingToken = a.FencingToken
	for _, c := range a.Commands {
		key := c.Task + "#" + strconv.FormatUint(c.Replica, 10)
		t := w.tasks[key]
		switch {
		case c.Op == protocol.CommandStart && t == nil:
			id, _, _ := strings.Cut(c.Task, "/")
			j := w.history.job(id)
			if j == nil {
				continue
			}
			w.tasks[key] = &workerTask{job: j, name: c.Task, replica: c.Replica, state: "running", endsAt: time.Now().Add(j.TaskDuration)}
			w.taskKeys = append(w.taskKeys, key)
			w.history.recordStart(j, c.Task, w.name)
		case c.Op == protocol.CommandStop && t != nil && t.state == "running":
			t.state, t.exitReason = "ended", "halted"
			w.history.recordEnd(t.job, t.name)
		case c.Op == protocol.CommandReap && t != nil && t.state == "ended":
			w.removeTask(key)
		}
	}
	return true
}

func (w *worker) removeTask(key string) {
	delete(w.tasks, key)
	for i, x := range w.taskKeys {
		if x == key {
			w.taskKeys = append(w.taskKeys[:i], w.taskKeys[i+1:]...)
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
	status, b, err := do(client, req)
	if err != nil {
		return 0, nil
	}
	return status, b
}

// do sends a request and reads the whole response.
func do(client *http.Client, req *http.Request) (status int, body []byte, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("standin: %w", err)
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return resp.StatusCode, body, err
}

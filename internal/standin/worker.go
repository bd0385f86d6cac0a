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
	minHeartbeatInterval = 500 * time.Millisecond // after the end of a task or a new fencing token
	heartbeatRetryDelay  = time.Second
	heartbeatTimeout     = 4 * time.Second
	taskCheckInterval    = 20 * time.Millisecond
)

// worker runs the tasks of one machine and sends its heartbeats. It follows the protocol's
// rules for fencing tokens and commands, but does not stop its tasks when its lease expires.
type worker struct {
	codec             *protocol.Codec
	client            *http.Client
	history           *History
	name              string            // of the machine
	apiAddresses      map[string]string // by member
	members           []string
	memberIndex       int // modulo len(members): the controller that heartbeats are sent to
	heartbeatInterval time.Duration
	sequence          uint64                 // of the last heartbeat
	fencingToken      uint64                 // the highest that a response had
	tasks             map[string]*workerTask // by TASK#REPLICA; ended ones stay until a reap command
	taskKeys          []string               // of tasks, in the order of their starts
	lastSentAt        time.Time
}

// workerTask is one replica of a task.
type workerTask struct {
	job        *Job
	name       string // of the task
	replica    uint64
	state      string // "running" or "ended"
	exitReason any    // nil while the task runs
	endsAt     time.Time
}

// run ends tasks and sends heartbeats until ctx is done.
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
		if delay := w.sendHeartbeat(ctx); delay > 0 {
			next = time.Now().Add(delay)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// endTasks ends the tasks whose run time is over, and reports whether there were any.
func (w *worker) endTasks(now time.Time) bool {
	anyEnded := false
	for _, t := range w.tasks {
		if t.state == "running" && now.After(t.endsAt) {
			t.state, t.exitReason, anyEnded = "ended", "done", true
			w.history.recordEnd(t.job, t.name)
		}
	}
	return anyEnded
}

// nextHeartbeatBody encodes a heartbeat under the next sequence number.
func (w *worker) nextHeartbeatBody() []byte {
	w.sequence++
	statuses := []any{}
	for _, key := range w.taskKeys {
		t := w.tasks[key]
		statuses = append(statuses, map[string]any{"page": t.name, "try": t.replica, "status": t.state, "cause": t.exitReason})
	}
	return w.codec.Encode(map[string]any{"roost": w.name, "address": "127.0.0.1:1", "breed": machineType, "hall": zone, "loaners": false,
		"perch": 1, "tick": w.sequence, "baton": w.fencingToken, "recallInS": nil, "pages": statuses})
}

// sendHeartbeat sends one heartbeat and handles the response. It returns the delay until the
// next heartbeat, or 0 for the usual interval.
func (w *worker) sendHeartbeat(ctx context.Context) time.Duration {
	member := w.members[w.memberIndex%len(w.members)]
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	status, body := post(ctx, w.client, "http://"+w.apiAddresses[member]+"/checkin", w.nextHeartbeatBody())
	switch status {
	case 200:
		if previousToken := w.fencingToken; w.applyResponse(body) && w.fencingToken != previousToken {
			return minHeartbeatInterval
		}
		return 0
	case 421:
		var redirect protocol.Redirect
		if w.codec.Decode(body, &redirect) == nil && w.apiAddresses[redirect.HeartbeatTo] != "" && redirect.HeartbeatTo != member {
			for i, name := range w.members {
				if name == redirect.HeartbeatTo {
					w.memberIndex = i
				}
			}
			return time.Millisecond
		}
	}
	w.memberIndex++
	return heartbeatRetryDelay
}

// applyResponse executes the commands of a response and reports whether it did: a response
// with a fencing token below the highest seen so far is dropped.
func (w *worker) applyResponse(body []byte) bool {
	var response protocol.HeartbeatResponse
	if w.codec.Decode(body, &response) != nil || response.FencingToken < w.fencingToken {
		return false
	}
	w.fencingToken = response.FencingToken
	for _, c := range response.Commands {
		key := c.Task + "#" + strconv.FormatUint(c.Replica, 10)
		t := w.tasks[key]
		switch {
		case c.Op == protocol.CommandStart && t == nil:
			jobID, _, _ := strings.Cut(c.Task, "/")
			j := w.history.job(jobID)
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
	for i, taskKey := range w.taskKeys {
		if taskKey == key {
			w.taskKeys = append(w.taskKeys[:i], w.taskKeys[i+1:]...)
			return
		}
	}
}

// post sends a request and returns the response's status and body; 0 means no response.
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

// do sends a request and reads the response, up to maxBodyBytes of its body.
func do(client *http.Client, req *http.Request) (status int, body []byte, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("standin: %w", err)
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return resp.StatusCode, body, err
}

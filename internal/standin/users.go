package standin

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const submissionRetryDelay = 200 * time.Millisecond

// Submit submits a job to a member, and retries until the job is accepted. Without a
// response (status 0) and after 429, 503 and 504 it retries; any other status is an error.
func (d *Deployment) Submit(ctx context.Context, member string, j *Job) error {
	j.SubmittedAt = time.Now()
	d.History.AddJob(j)
	body := d.codec.Encode(map[string]any{"nameId": j.ID, "desk": "d", "crew": j.Team, "form": "batch", "urgency": "standard", "pages": j.Tasks,
		"vcpus": j.CPUs, "cards": 0.0, "ramGb": 0.5, "plate": "img", "imageGb": 0.1, "breeds": nil, "hall": nil,
		"together": false, "apart": false, "loaners": true, "expectedS": j.TaskDuration.Seconds(), "proofEveryS": 0.0, "proofS": 0.0, "pressByS": nil})
	for {
		switch status, response := post(ctx, d.client, "http://"+d.apiAddresses[member]+"/submissions", body); status {
		case 200, 201:
			return nil
		case 0, 429, 503, 504:
		default:
			return fmt.Errorf("standin: %s is answered %d: %q", j.ID, status, response)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("standin: %s is not accepted: %w", j.ID, ctx.Err())
		case <-time.After(submissionRetryDelay):
		}
	}
}

// Status returns a job's status as a member reports it, or "" without a valid response.
func (d *Deployment) Status(ctx context.Context, member, id string) string {
	var response protocol.JobStatus
	if b := d.get(ctx, "http://"+d.apiAddresses[member]+"/submissions/"+id); b != nil && d.codec.Decode(b, &response) == nil {
		return response.Status
	}
	return ""
}

// Ready reports whether a member's readiness check succeeds.
func (d *Deployment) Ready(ctx context.Context, member string) bool {
	return d.get(ctx, "http://"+d.apiAddresses[member]+"/ready") != nil
}

// get returns the body of a response with status 200, or nil.
func (d *Deployment) get(ctx context.Context, url string) []byte {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil
	}
	status, b, err := do(d.client, req)
	if err != nil || status != http.StatusOK {
		return nil
	}
	if b == nil {
		b = []byte{}
	}
	return b
}

// WaitFor checks a condition every 50 ms until it holds. If ctx is done before that, it
// returns an error with the condition's description.
func WaitFor(ctx context.Context, description string, condition func() bool) error {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("standin: %s: %w", description, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

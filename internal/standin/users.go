package standin

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

const submissionRetryDelay = 200 * time.Millisecond

// Submit hands a job in at a member until it is accepted.
func (d *Deployment) Submit(ctx context.Context, member string, j *Job) error {
	j.SubmittedAt = time.Now()
	d.History.AddJob(j)
	body := d.codec.Encode(map[string]any{"nameId": j.ID, "desk": "d", "crew": j.Team, "form": "batch", "urgency": "standard", "pages": j.Tasks,
		"vcpus": j.CPUs, "cards": 0.0, "ramGb": 0.5, "plate": "img", "imageGb": 0.1, "breeds": nil, "hall": nil,
		"together": false, "apart": false, "loaners": true, "expectedS": j.TaskDuration.Seconds(), "proofEveryS": 0.0, "proofS": 0.0, "pressByS": nil})
	for {
		switch status, answer := post(ctx, d.client, "http://"+d.apiAddresses[member]+"/submissions", body); status {
		case 200, 201:
			return nil
		case 0, 429, 503, 504:
		default:
			return fmt.Errorf("standin: %s is answered %d: %q", j.ID, status, answer)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("standin: %s is not accepted: %w", j.ID, ctx.Err())
		case <-time.After(submissionRetryDelay):
		}
	}
}

// Status asks a member about a job.
func (d *Deployment) Status(ctx context.Context, member, id string) string {
	var s protocol.JobStatus
	if b := d.get(ctx, "http://"+d.apiAddresses[member]+"/submissions/"+id); b != nil && d.codec.Decode(b, &s) == nil {
		return s.Status
	}
	return ""
}

// Ready tells whether a member takes requests.
func (d *Deployment) Ready(ctx context.Context, member string) bool {
	return d.get(ctx, "http://"+d.apiAddresses[member]+"/ready") != nil
}

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

// WaitFor waits until something holds.
func WaitFor(ctx context.Context, what string, holds func() bool) error {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("standin: %s: %w", what, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

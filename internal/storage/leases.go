package storage

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

// OpenLease requests a lease of the state service. done receives 0 if none was granted or no answer
// came.
func (c *client) OpenLease(ttl time.Duration, done func(lease uint64)) {
	body := c.codec.Encode(protocol.LeaseRequest{TTLMs: ttl.Milliseconds()})
	c.enqueue(request{class: Urgent, method: http.MethodPost, path: "/leases", body: body, done: func(r Response) {
		var opened protocol.LeaseResponse
		if r.Status != http.StatusOK || c.codec.Decode(r.Body, &opened) != nil {
			done(0)
			return
		}
		done(opened.Lease)
	}})
}

// RenewLease renews a lease. Without an answer the lease is neither renewed nor expired;
// expired reports that it has ended for good.
func (c *client) RenewLease(lease uint64, timeout time.Duration, done func(renewed, expired bool)) {
	path := "/leases/" + strconv.FormatUint(lease, 10) + "/touch"
	c.enqueue(request{class: Urgent, method: http.MethodPost, path: path, timeout: timeout, done: func(r Response) {
		done(r.Status == http.StatusOK, r.Status == http.StatusNotFound)
	}})
}

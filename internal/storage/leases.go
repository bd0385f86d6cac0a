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

// LeaseRenewal is the result of renewing a lease.
type LeaseRenewal uint8

// The results of a renewal.
const (
	RenewalUnknown LeaseRenewal = iota // no usable answer: the lease may have been renewed, or not
	LeaseRenewed                       // the lease has its full time from when the renewal was sent, at least
	LeaseEnded                         // the lease has ended for good
)

// RenewLease renews a lease.
func (c *client) RenewLease(lease uint64, timeout time.Duration, done func(LeaseRenewal)) {
	path := "/leases/" + strconv.FormatUint(lease, 10) + "/touch"
	c.enqueue(request{class: Urgent, method: http.MethodPost, path: path, timeout: timeout, done: func(r Response) {
		switch r.Status {
		case http.StatusOK:
			done(LeaseRenewed)
		case http.StatusNotFound:
			done(LeaseEnded)
		default:
			done(RenewalUnknown)
		}
	}})
}

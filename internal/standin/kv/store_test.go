package kv

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/protocol"
)

func TestTransactionChecksConditionsBeforeChanges(t *testing.T) {
	s := New()
	s.Put("a", []byte{1})
	lease := s.OpenLease(time.Second, 0)
	for _, test := range []struct {
		name     string
		txn      protocol.Transaction
		status   int
		failed   string
		revision uint64
	}{
		{"absent key", protocol.Transaction{If: []protocol.Condition{{Key: "b"}}, Then: []protocol.Change{{Put: "b", Value: []byte{2}}}}, 200, "[]", 2},
		{"version differs", protocol.Transaction{If: []protocol.Condition{{Key: "a", Version: 2}, {Key: "b"}}, Then: []protocol.Change{{Delete: "a"}}}, 409, "[a b]", 2},
		{"conditions only", protocol.Transaction{If: []protocol.Condition{{Key: "a", Version: 1}}}, 200, "[]", 2},
		{"unknown lease", protocol.Transaction{If: []protocol.Condition{{Key: "a", Version: 9}}, Then: []protocol.Change{{Put: "c", Value: []byte{3}, Lease: lease + 1}}}, 400, "[]", 0},
		{"several changes at one revision", protocol.Transaction{Then: []protocol.Change{{Put: "c", Value: []byte{3}, Lease: lease}, {Delete: "a"}}}, 200, "[]", 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, response := s.Transact(&test.txn)
			if status != test.status || fmt.Sprint(response.Failed) != test.failed || response.Revision != test.revision {
				t.Fatalf("status %d, response %+v; want status %d, failed keys %s, revision %d", status, response, test.status, test.failed, test.revision)
			}
		})
	}
	if page := s.Page("", "", 1); len(page.Items) != 1 || page.Items[0].Key != "b" || !page.More {
		t.Fatalf("first page: %+v, want key b and more to follow", page)
	}
	if page := s.Page("", "b", 1); len(page.Items) != 1 || page.Items[0].Key != "c" || page.More {
		t.Fatalf("second page: %+v, want key c and no more", page)
	}
}

func TestLeaseExpiresOnTimeAndDeletesItsKeys(t *testing.T) {
	s := New()
	lease := s.OpenLease(time.Second, 0)
	s.Transact(&protocol.Transaction{Then: []protocol.Change{{Put: "a", Value: []byte{1}, Lease: lease}, {Put: "b", Value: []byte{2}}}})
	if !s.RenewLease(lease, 500*time.Millisecond) || s.ExpireLeases(1400*time.Millisecond) {
		t.Fatal("a renewed lease expired before its time")
	}
	s.RenewAll(time.Second)
	if s.ExpireLeases(1999*time.Millisecond) || !s.ExpireLeases(2*time.Second) {
		t.Fatal("the lease did not expire exactly when its TTL had passed")
	}
	if s.RenewLease(lease, 2*time.Second) || s.KeyValue("a") != nil || s.KeyValue("b") == nil {
		t.Fatal("an expired lease was renewed, or not exactly its keys were deleted")
	}
	events := s.EventsSince("", 1)
	if len(events) != 1 || events[0].Delete != "a" || events[0].Version != 2 {
		t.Fatalf("events after the transaction: %+v, want the deletion of a at revision 2", events)
	}
	if n := s.ChangeCount("a"); n != 2 {
		t.Fatalf("%d changes of a key that was written and deleted, want 2", n)
	}
}

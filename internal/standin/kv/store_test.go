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
		{"comparison alone", protocol.Transaction{If: []protocol.Condition{{Key: "a", Version: 1}}}, 200, "[]", 2},
		{"unknown lease", protocol.Transaction{If: []protocol.Condition{{Key: "a", Version: 9}}, Then: []protocol.Change{{Put: "c", Value: []byte{3}, Lease: lease + 1}}}, 400, "[]", 0},
		{"all at one revision", protocol.Transaction{Then: []protocol.Change{{Put: "c", Value: []byte{3}, Lease: lease}, {Delete: "a"}}}, 200, "[]", 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, response := s.Transact(&test.txn)
			if status != test.status || fmt.Sprint(response.Failed) != test.failed || response.Revision != test.revision {
				t.Fatalf("%d %+v, want %d, failed %s, revision %d", status, response, test.status, test.failed, test.revision)
			}
		})
	}
	if page := s.Page("", "", 1); len(page.Items) != 1 || page.Items[0].Key != "b" || !page.More {
		t.Fatalf("first page: %+v", page)
	}
	if page := s.Page("", "b", 1); len(page.Items) != 1 || page.Items[0].Key != "c" || page.More {
		t.Fatalf("second page: %+v", page)
	}
}

func TestLeaseExpiresOnTimeAndDeletesItsKeys(t *testing.T) {
	s := New()
	lease := s.OpenLease(time.Second, 0)
	s.Transact(&protocol.Transaction{Then: []protocol.Change{{Put: "a", Value: []byte{1}, Lease: lease}, {Put: "b", Value: []byte{2}}}})
	if !s.RenewLease(lease, 500*time.Millisecond) || s.ExpireLeases(1400*time.Millisecond) {
		t.Fatal("a lease that was renewed has ended early")
	}
	s.RenewAll(time.Second)
	if s.ExpireLeases(1999*time.Millisecond) || !s.ExpireLeases(2*time.Second) {
		t.Fatal("a lease does not end at its time")
	}
	if s.RenewLease(lease, 2*time.Second) || s.KeyValue("a") != nil || s.KeyValue("b") == nil {
		t.Fatal("a lease that has ended is renewed, or the wrong keys are left")
	}
	events := s.EventsSince("", 1)
	if len(events) != 1 || events[0].Delete != "a" || events[0].Version != 2 {
		t.Fatalf("events after the transaction: %+v", events)
	}
	if n := s.ChangeCount("a"); n != 2 {
		t.Fatalf("%d changes of a key that was written and removed", n)
	}
}

package storage

import (
	"fmt"
	"testing"
)

// Names are recovered from their keys, and not from keys of other kinds.
func TestKeysAndTheirInverses(t *testing.T) {
	for _, c := range []struct {
		name    string
		key     func(string) string
		inverse func(string) (string, bool)
		other   string
	}{
		{"shard", ShardKey, ShardOfKey, ProcessKey("a")},
		{"process", ProcessKey, MemberOfProcessKey, ShardKey("a")},
		{"quota", QuotaKey, TeamOfQuotaKey, LeaderKey},
		{"quota, not hexadecimal", QuotaKey, TeamOfQuotaKey, QuotaPrefix + "zz"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, want := range []string{"a", "vogel uni", "a/b"} {
				if got, ok := c.inverse(c.key(want)); !ok || got != want {
					t.Errorf("the inverse of the key of %q is %q, %v", want, got, ok)
				}
			}
			if got, ok := c.inverse(c.other); ok {
				t.Errorf("%q, a key of another kind, is taken for the key of %q", c.other, got)
			}
		})
	}
}

func ExampleQuotaKey() {
	fmt.Println(QuotaKey("red team"))
	// Output: m/quota/726564207465616d
}

package storage

import (
	"fmt"
	"testing"
)

// Names come back from their keys, and from no keys of others.
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
					t.Errorf("%q is %q, %v", want, got, ok)
				}
			}
			if got, ok := c.inverse(c.other); ok {
				t.Errorf("%q is the key of %q", c.other, got)
			}
		})
	}
}

func ExampleQuotaKey() {
	fmt.Println(QuotaKey("red team"))
	// Output: m/quota/726564207465616d
}

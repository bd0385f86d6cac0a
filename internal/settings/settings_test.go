package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validFile = `
member = "n-0"
site = "z"
api_addr = "10.0.0.1:80"
mesh_addr = "10.0.0.1:81"
new_field = "from a later platform"
[[known]]
member = "n-1"
site = "z"
address = "10.0.0.2:81"
[external]
cloud = "10.0.0.3:1"
state = "10.0.0.3:2"
[settings]
initial_size = 2
zones = ["z"]
clock_off_ms = 100.0
[[settings.teams]]
name = "t"
cpus = 0.0
cpus_max = 0.0
colour = "blue"
[settings.workers]
report_s = 2.5
lease_s = 16.0
cancel_s = 46.0
[settings.state]
rps = 200.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 32
[settings.cloud]
rps = 3.0
list_lag_s = 6.0
[settings.limits]
cores = 0.1
mem_mb = 179.0
sockets = 1800
`

func TestParseErrorNamesField(t *testing.T) {
	f, err := Parse([]byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if f.Settings.Workers.LeaseS != 16 || f.Peers[0].Member != "n-1" || f.Settings.State.TxnOps != 32 {
		t.Fatalf("parsed incorrectly: %+v", f)
	}
	for _, c := range []struct{ old, new, field string }{
		{`member = "n-0"`, ``, "member"},
		{`"10.0.0.1:80"`, `"10.0.0.1"`, "api_addr"},
		{`"10.0.0.1:81"`, `"nowhere:81"`, "mesh_addr"},
		{`cloud = "10.0.0.3:1"`, ``, "external.cloud"},
		{`member = "n-1"`, `member = "n-0"`, "known[0].member"},
		{`lease_s = 16.0`, `lease_s = -1.0`, "settings.workers.lease_s"},
		{`report_s = 2.5`, `report_s = nan`, "settings.workers.report_s"},
		{`write_rps = 40.0`, ``, "settings.state.write_rps"},
		{`txn_ops = 32`, `txn_ops = 0`, "settings.state.txn_ops"},
		{`txn_ops = 32`, "txn_ops = 32\nnext = { txn_ops = 1 }", "settings.state.next.txn_ops"},
		{`txn_ops = 32`, "txn_ops = 32\nnext = { value_kb = -2.0 }", "settings.state.next.value_kb"},
		{`txn_ops = 32`, "txn_ops = 32\nnext = { write_rps = nan }", "settings.state.next.write_rps"},
		{`txn_ops = 32`, "txn_ops = 32\nnext = { rps = 0.0 }", "settings.state.next.rps"},
		{`txn_ops = 32`, "txn_ops = 32\nnext = 3", "settings.state.next"},
		{`sockets = 1800`, `sockets = 1`, "settings.limits.sockets"},
		{`name = "t"`, ``, "settings.teams[0].name"},
		{`cpus = 0.0`, `cpus = -2.0`, "settings.teams[0]"},
		{`report_s = 2.5`, `report_s = "soon"`, "report_s"},
	} {
		t.Run(c.old+" becomes "+c.new, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validFile, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.field) {
				t.Errorf("error %v does not name %s", err, c.field)
			}
		})
	}
}

func TestPropertiesOverrideDefaults(t *testing.T) {
	got, err := ParseTuning("# ours\nstate.lease = 8s\nplacement.starts_per_reply=5\nloss.silence_reports: 2.5\n")
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultTuning()
	want.StateLease, want.StartsPerResponse, want.MaxMissedHeartbeats = 8*time.Second, 5, 2.5
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	got, err = ParseTuning("quota.escrow = true\nquota.transfer_interval = 1s\nquota.audit = /var/audit\n")
	if err != nil || !got.QuotaEscrow || got.QuotaTransferInterval != time.Second || got.QuotaAudit != "/var/audit" {
		t.Errorf("got %+v, %v", got, err)
	}
	if DefaultTuning().QuotaEscrow {
		t.Error("QuotaEscrow is enabled by default")
	}
	for _, bad := range []string{"quota.escrow = perhaps", "quota.transfer_interval = -1s", "quota.transfer_interval = 1ms", "quota.audit = /var/audit", "quota.escro = true",
		"state.leese = 8s", "state.lease = 8", "state.lease = 1ms", "loss.silence_reports = many", "placement.starts_per_reply = 0"} {
		t.Run(bad, func(t *testing.T) {
			key, _, _ := strings.Cut(bad, " ")
			if _, err := ParseTuning(bad); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("error %v does not name the key", err)
			}
		})
	}
}

func TestQuotaAuditMustBeADirectory(t *testing.T) {
	name := filepath.Join(t.TempDir(), "p.properties")
	if err := os.WriteFile(name, []byte("quota.escrow = true\nquota.audit = "+name+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadTuning(name); err == nil || !strings.Contains(err.Error(), "quota.audit") {
		t.Errorf("got %v, want an error that names quota.audit", err)
	}
}

// The effective limit is the smaller of the current and the next one, even before the change. A
// limit that next lacks or raises stays as it is.
func TestEffectiveLimitsAreTheSmaller(t *testing.T) {
	for next, want := range map[string]State{
		"":                                    {RPS: 200, WriteRPS: 40, ValueKB: 8, TxnOps: 32},
		"next = {}":                           {RPS: 200, WriteRPS: 40, ValueKB: 8, TxnOps: 32},
		"next = { value_kb = 2.0 }":           {RPS: 200, WriteRPS: 40, ValueKB: 2, TxnOps: 32},
		"next = { txn_ops = 5, rps = 900.0 }": {RPS: 200, WriteRPS: 40, ValueKB: 8, TxnOps: 5},
		"next = { rps = 90.0, write_rps = 28.0, value_kb = 16.0, txn_ops = 64 }": {RPS: 90, WriteRPS: 28, ValueKB: 8, TxnOps: 32},
	} {
		t.Run(next, func(t *testing.T) {
			f, err := Parse([]byte(strings.Replace(validFile, "txn_ops = 32", "txn_ops = 32\n"+next, 1)))
			if err != nil {
				t.Fatal(err)
			}
			if got := f.Settings.State.Effective(); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

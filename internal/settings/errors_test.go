package settings

import (
	"errors"
	"strings"
	"testing"
)

// An error in the settings file is reported with the path and the value of the field, in one
// line.
func TestParseErrorsNameFieldAndValue(t *testing.T) {
	for _, c := range []struct{ old, new, path, text string }{
		{`member = "n-0"`, ``, "member", "settings: member is missing"},
		{`"10.0.0.1:80"`, `"10.0.0.1"`, "api_addr", `settings: api_addr is missing or not host:port: "10.0.0.1"`},
		{`"10.0.0.1:81"`, `"nowhere:81"`, "mesh_addr", `settings: mesh_addr is not an IP address with a port: "nowhere:81"`},
		{`member = "n-1"`, `member = "n-0"`, "known[0].member", `settings: known[0].member is missing or repeated: "n-0"`},
		{`lease_s = 16.0`, `lease_s = -1.0`, "settings.workers.lease_s", "settings: settings.workers.lease_s is missing or out of range: -1"},
		{`cpus = 0.0`, `cpus = -2.0`, "settings.teams[0]", "settings: settings.teams[0] has a negative amount: -2"},
	} {
		_, err := Parse([]byte(strings.Replace(validFile, c.old, c.new, 1)))
		wantFieldError(t, err, c.path, c.text)
	}
	_, err := Parse([]byte(strings.Replace(validFile, `report_s = 2.5`, `report_s = "soon"`, 1)))
	var field *FieldError
	if !errors.As(err, &field) || !strings.HasSuffix(field.Path, "report_s") || field.Err == nil {
		t.Errorf("value of the wrong type: got %v, field %+v", err, field)
	}
}

// An error in the properties is reported with the key and the value, in one line.
func TestPropertyErrorsNameKeyAndValue(t *testing.T) {
	for property, want := range map[string]string{
		"state.lease = 8":                 `properties: state.lease must be a duration from 1s to 10m0s: "8"`,
		"loss.silence_reports = many":     `properties: loss.silence_reports must be a number from 1 to 100: "many"`,
		"placement.starts_per_reply = 0":  `properties: placement.starts_per_reply must be a count from 1 to 500: "0"`,
		"quota.escrow = perhaps":          `properties: quota.escrow must be true or false: "perhaps"`,
		"quota.audit = /var/audit":        "properties: quota.audit has nothing to record without quota.escrow",
		"state.leese = 8s":                "properties: unknown key state.leese",
		"bookkeeping.write_share = 1.001": `properties: bookkeeping.write_share must be a number from 0.05 to 1: "1.001"`,
	} {
		key, _, _ := strings.Cut(property, " ")
		_, err := ParseTuning(property)
		wantFieldError(t, err, key, want)
	}
}

func wantFieldError(t *testing.T, err error, path, text string) {
	t.Helper()
	var field *FieldError
	if !errors.As(err, &field) || field.Path != path || err.Error() != text {
		t.Errorf("got %v (field %+v), want %q of %s", err, field, text, path)
	}
}

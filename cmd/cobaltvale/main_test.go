package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cobaltvale/cobaltvale/internal/settings"
)

func TestCommandLineStatusAndOutput(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("member = \"a\"\nsite = \"z\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		out  string // in standard output
		err  string // in standard error, which is then one line
	}{
		{[]string{"version"}, 0, "cobaltvale " + version, ""},
		{[]string{"--help"}, 0, "--properties", ""},
		{nil, 2, "", "--config is missing"},
		{[]string{"--config", bad}, 2, "", "api_addr"},
		{[]string{"--config", filepath.Join(dir, "none.toml")}, 2, "", "none.toml"},
		{[]string{"--config", bad, "more"}, 2, "", "unexpected argument"},
		{[]string{"audit"}, 2, "", "audit takes verify"},
		{[]string{"audit", "verify"}, 2, "", "audit takes verify"},
		{[]string{"audit", "verify", "--guarantee-wait", "x", bad}, 2, "", "guarantee-wait"},
		{[]string{"audit", "verify", bad}, 2, "", "bad.toml: at byte 0: not an audit stream"},
		{[]string{"audit", "verify", filepath.Join(dir, "none.audit")}, 2, "", "none.audit: at byte 0"},
	} {
		var out, errOut bytes.Buffer
		code := run(c.args, &out, &errOut)
		if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.err) ||
			(c.err != "" && strings.Count(errOut.String(), "\n") != 1) {
			t.Errorf("%v: status %d, output %q, errors %q", c.args, code, out.String(), errOut.String())
		}
	}
}

// A state service whose answers take long must still be asked as often as its
// rate allows; the connections for that stay a small part of the sockets.
func TestStateConnectionsUseTheRateWithinTheSockets(t *testing.T) {
	for _, c := range []struct {
		rps     float64
		sockets int
		want    int
	}{{180, 4134, 129}, {180, 40000, 216}, {2, 4134, 8}, {400, 100, 8}} {
		var f settings.File
		f.Settings.State.RPS, f.Settings.Limits.Sockets = c.rps, c.sockets
		if got := stateConnections(&f, settings.DefaultTuning()); got != c.want {
			t.Errorf("%v requests a second, %d sockets: %d connections, want %d", c.rps, c.sockets, got, c.want)
		}
	}
}

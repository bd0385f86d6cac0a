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
		name string
		args []string
		code int
		out  string // contained in standard output
		err  string // contained in standard error, which must then be one line
	}{
		{"version", []string{"version"}, 0, "cobaltvale " + version, ""},
		{"help", []string{"--help"}, 0, "--properties", ""},
		{"no settings", nil, 2, "", "--config is missing"},
		{"missing field", []string{"--config", bad}, 2, "", "api_addr"},
		{"missing settings file", []string{"--config", filepath.Join(dir, "none.toml")}, 2, "", "none.toml"},
		{"unexpected argument", []string{"--config", bad, "more"}, 2, "", "unexpected argument"},
		{"audit without a command", []string{"audit"}, 2, "", "audit takes verify"},
		{"audit without files", []string{"audit", "verify"}, 2, "", "audit takes verify"},
		{"audit with an invalid wait", []string{"audit", "verify", "--guarantee-wait", "x", bad}, 2, "", "guarantee-wait"},
		{"audit of a file of another type", []string{"audit", "verify", bad}, 2, "", "bad.toml: at byte 0: not an audit stream"},
		{"audit of a missing file", []string{"audit", "verify", filepath.Join(dir, "none.audit")}, 2, "", "none.audit: at byte 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := run(c.args, &out, &errOut)
			if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.err) ||
				(c.err != "" && strings.Count(errOut.String(), "\n") != 1) {
				t.Errorf("exit status %d, standard output %q, standard error %q", code, out.String(), errOut.String())
			}
		})
	}
}

// A slow state service must still receive requests at its full rate, which takes more
// connections; they must stay a small part of the sockets.
func TestMaxStateConnsFollowsRateWithinSockets(t *testing.T) {
	for _, c := range []struct {
		rps     float64
		sockets int
		want    int
	}{{180, 4134, 129}, {180, 40000, 216}, {2, 4134, 8}, {400, 100, 8}} {
		var f settings.File
		f.Settings.State.RPS, f.Settings.Limits.Sockets = c.rps, c.sockets
		if got := maxStateConns(&f, settings.DefaultTuning()); got != c.want {
			t.Errorf("%v requests per second, %d sockets: %d connections, want %d", c.rps, c.sockets, got, c.want)
		}
	}
}

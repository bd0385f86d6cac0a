package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommandLine(t *testing.T) {
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
	} {
		var out, errOut bytes.Buffer
		code := run(c.args, &out, &errOut)
		if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.err) ||
			(c.err != "" && strings.Count(errOut.String(), "\n") != 1) {
			t.Errorf("%v: status %d, output %q, errors %q", c.args, code, out.String(), errOut.String())
		}
	}
}

// Package scripts holds the tests of the repository's scripts.
package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The list of tests that are known to fail must exempt only these tests. It must not grow
// above its limit, list a test that passes again, or hide a misspelled name.
func TestRunTestsSkipsOnlyListedTests(t *testing.T) {
	script, err := filepath.Abs("run-tests")
	if err != nil {
		t.Fatal(err)
	}
	const redLine = "TestRed, a fault that is known, #7\n"
	for name, c := range map[string]struct {
		knownRed, tests string
		passes          bool
		message         string
	}{
		"no list":                       {"", "", true, ""},
		"unlisted test fails":           {"", "func TestRed(t *testing.T) { t.Fatal() }", false, "TestRed"},
		"listed test fails":             {redLine, "func TestRed(t *testing.T) { t.Fatal() }", true, "known to fail: TestRed"},
		"unlisted and listed test fail": {redLine, "func TestRed(t *testing.T) { t.Fatal() }\nfunc TestRedder(t *testing.T) { t.Fatal() }", false, "TestRedder"},
		"listed test passes":            {redLine, "func TestRed(t *testing.T) {}", false, "TestRed passes"},
		"listed test does not exist":    {redLine, "", false, "there is no test TestRed"},
		"no issue":                      {"TestRed, a fault that is known\n", "func TestRed(t *testing.T) { t.Fatal() }", false, "not a test"},
		"no cause":                      {"TestRed, , #7\n", "func TestRed(t *testing.T) { t.Fatal() }", false, "not a test"},
		"four listed tests": {"TestA, x, #1\nTestB, x, #1\nTestC, x, #1\nTestD, x, #1",
			"func TestA(t *testing.T) { t.Fatal() }\nfunc TestB(t *testing.T) { t.Fatal() }\nfunc TestC(t *testing.T) { t.Fatal() }\nfunc TestD(t *testing.T) { t.Fatal() }", false, "three at the most"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for file, text := range map[string]string{
				"go.mod":        "module x\n\ngo 1.26\n",
				"x_test.go":     "package x\n\nimport \"testing\"\n\nfunc TestGreen(t *testing.T) {}\n" + c.tests + "\n",
				"KNOWN-RED.txt": c.knownRed,
			} {
				if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.Command(script)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.passes || !strings.Contains(string(out), c.message) {
				t.Fatalf("run-tests ended with %v; unexpected status or missing message:\n%s", err, out)
			}
		})
	}
}

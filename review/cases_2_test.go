//go:build review

// Package review runs the cases of the second review. Build target/cobaltvale and run
// review/build-2.sh first; then go test -tags review -timeout 30m ./review
package review

import (
	"errors"
	"os/exec"
	"testing"
)

// TestSecondReview fails for each case of the second review whose rule was broken.
func TestSecondReview(t *testing.T) {
	for _, n := range []string{"4", "5", "6", "7", "8"} {
		t.Run(n, func(t *testing.T) {
			out, err := exec.Command("./" + n + "/run.sh").CombinedOutput()
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == 1:
				t.Errorf("the rule was broken: %s", out)
			default:
				t.Skipf("the case could not run: %v: %s", err, out)
			}
		})
	}
}

package protocol

import (
	"fmt"
	"math"
)

const (
	maxNameLength = 120
	maxAmount     = 1e12
)

// FieldError reports a malformed field of a message. Its text is sent to the user or machine that
// sent the message, so it uses the field names of the protocol.
type FieldError struct {
	// Path is the path of the field in the message, such as "pages[2].cause".
	Path string
	// Text describes the error.
	Text string
}

// Error implements the error interface.
func (e *FieldError) Error() string { return e.Text }

// fieldError returns a FieldError whose text is the path followed by the problem.
func fieldError(path, problem string) *FieldError {
	return &FieldError{Path: path, Text: path + " " + problem}
}

// taskFieldError returns a FieldError for a field of the task at index.
func taskFieldError(index int, field, text string) *FieldError {
	return &FieldError{Path: fmt.Sprintf("pages[%d].%s", index, field), Text: text}
}

// checkAmount returns an error unless a required number is present and from 0 to maxAmount.
func checkAmount(path string, value *float64) error {
	switch {
	case value == nil:
		return fieldError(path, "is missing")
	case math.IsNaN(*value) || math.IsInf(*value, 0) || *value < 0 || *value > maxAmount:
		return fieldError(path, "is out of range")
	}
	return nil
}

// checkName returns an error unless a required name is present and of valid length.
func checkName(path string, value *string) error {
	switch {
	case value == nil:
		return fieldError(path, "is missing")
	case !validNameLength(*value):
		return fieldError(path, "has a bad length")
	}
	return nil
}

// validNameLength reports whether a name is neither empty nor longer than
// maxNameLength bytes.
func validNameLength(name string) bool { return name != "" && len(name) <= maxNameLength }

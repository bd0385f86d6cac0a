package protocol

import (
	"fmt"
	"math"
)

const (
	maxNameLength = 120
	maxAmount     = 1e12
)

// FieldError says which field of a message is malformed. Its text goes to the user or
// worker that sent the message, in the words of the outside protocol.
type FieldError struct {
	// Path names the field in the message as it was sent, such as "pages[2].cause".
	Path string
	// Text says what is wrong with it.
	Text string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Text }

// fieldError is the error of a field whose text begins with the field's name.
func fieldError(path, problem string) *FieldError {
	return &FieldError{Path: path, Text: path + " " + problem}
}

// taskFieldError is the error of a field of the task with that index.
func taskFieldError(index int, field, text string) *FieldError {
	return &FieldError{Path: fmt.Sprintf("pages[%d].%s", index, field), Text: text}
}

// checkAmount tells whether a required number is present and neither negative nor
// beyond all reason.
func checkAmount(path string, value *float64) error {
	switch {
	case value == nil:
		return fieldError(path, "is missing")
	case math.IsNaN(*value) || math.IsInf(*value, 0) || *value < 0 || *value > maxAmount:
		return fieldError(path, "is out of range")
	}
	return nil
}

// checkName tells whether a required name is present and of a length that names have.
func checkName(path string, value *string) error {
	switch {
	case value == nil:
		return fieldError(path, "is missing")
	case !validNameLength(*value):
		return fieldError(path, "has a bad length")
	}
	return nil
}

// validNameLength tells whether a name is of a length that names have.
func validNameLength(name string) bool { return name != "" && len(name) <= maxNameLength }

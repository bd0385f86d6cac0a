package settings

// FieldError says which field of a settings file, or which property, is missing or
// wrong.
type FieldError struct {
	// Path is the field's place in the file, such as "settings.teams[0].name", or the
	// property's key.
	Path string
	// Text says in one line what is wrong, with the value.
	Text string
	// Err is the cause if the file could not be decoded, else nil.
	Err error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Text }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError is the error of a field whose text begins with its path.
func fieldError(path, problem string) error {
	return &FieldError{Path: path, Text: path + " " + problem}
}

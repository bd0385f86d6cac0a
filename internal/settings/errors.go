package settings

// FieldError reports a missing or invalid field of the settings file, or an invalid property.
type FieldError struct {
	// Path is the path of the field in the file, such as "settings.teams[0].name", or the key
	// of the property.
	Path string
	// Text describes the error in one line, including the value.
	Text string
	// Err is the decoder's error if the file could not be decoded, otherwise nil.
	Err error
}

// Error implements the error interface.
func (e *FieldError) Error() string { return e.Text }

// Unwrap returns the decoder's error, or nil.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError returns a FieldError whose text is the path followed by the problem.
func fieldError(path, problem string) error {
	return &FieldError{Path: path, Text: path + " " + problem}
}

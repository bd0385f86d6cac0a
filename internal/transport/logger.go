package transport

// discardLogger replaces gnet's logger. Relevant failures are returned as errors, and
// the process writes few log lines, all in one format.
type discardLogger struct{}

// Debugf implements logging.Logger of gnet.
func (discardLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger of gnet.
func (discardLogger) Infof(string, ...any) {}

// Warnf implements logging.Logger of gnet.
func (discardLogger) Warnf(string, ...any) {}

// Errorf implements logging.Logger of gnet.
func (discardLogger) Errorf(string, ...any) {}

// Fatalf implements logging.Logger of gnet.
func (discardLogger) Fatalf(string, ...any) {}

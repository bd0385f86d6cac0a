package transport

// discardLogger takes the place of gnet's logger: what matters comes back as errors,
// and the process logs sparingly in one format.
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

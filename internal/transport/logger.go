package transport

// discardLogger takes the place of gnet's logger: what matters comes back as errors,
// and the process logs sparingly in one format.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}

func (discardLogger) Infof(string, ...any) {}

func (discardLogger) Warnf(string, ...any) {}

func (discardLogger) Errorf(string, ...any) {}

func (discardLogger) Fatalf(string, ...any) {}

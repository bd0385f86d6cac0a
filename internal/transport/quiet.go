package transport

// quiet takes the place of gnet's logger: what matters comes back as errors,
// and the process logs sparingly in one format.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}

func (quiet) Infof(string, ...any) {}

func (quiet) Warnf(string, ...any) {}

func (quiet) Errorf(string, ...any) {}

func (quiet) Fatalf(string, ...any) {}

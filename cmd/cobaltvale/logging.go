package main

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// newLogger makes the process's log: one JSON object a line, from the level that
// LOG_LEVEL names.
func newLogger(w io.Writer, name string) (zerolog.Logger, error) {
	var level zerolog.Level
	switch name {
	case "", "info":
		level = zerolog.InfoLevel
	case "error":
		level = zerolog.ErrorLevel
	case "debug":
		level = zerolog.DebugLevel
	default:
		return zerolog.Nop(), fmt.Errorf("LOG_LEVEL %q is not error, info or debug", name)
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}

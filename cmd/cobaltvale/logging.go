package main

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// newLogger returns the process's logger, which writes one JSON object per line. levelName
// is the value of LOG_LEVEL, the lowest level that is written; empty means info.
func newLogger(w io.Writer, levelName string) (zerolog.Logger, error) {
	var level zerolog.Level
	switch levelName {
	case "", "info":
		level = zerolog.InfoLevel
	case "error":
		level = zerolog.ErrorLevel
	case "debug":
		level = zerolog.DebugLevel
	default:
		return zerolog.Nop(), fmt.Errorf("LOG_LEVEL %q is not error, info or debug", levelName)
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}

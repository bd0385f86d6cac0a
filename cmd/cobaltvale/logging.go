package main

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

func newLogger(w io.Writer, level string) (zerolog.Logger, error) {
	switch level {
	case "", "info":
		return zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Logger(), nil
	case "error":
		return zerolog.New(w).Level(zerolog.ErrorLevel).With().Timestamp().Logger(), nil
	case "debug":
		return zerolog.New(w).Level(zerolog.DebugLevel).With().Timestamp().Logger(), nil
	}
	return zerolog.Nop(), fmt.Errorf("LOG_LEVEL %q is not error, info or debug", level)
}

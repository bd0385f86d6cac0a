package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/cobaltvale/cobaltvale/internal/audit"
	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// auditLog is the history that this process keeps, or nil.
type auditLog struct{ writer *audit.Writer }

// openAudit begins this process's history in the directory that quota.audit names.
func openAudit(member string, tune settings.Tuning, log zerolog.Logger, incarnation uint64, start time.Time) (*auditLog, error) {
	if tune.QuotaAudit == "" {
		return nil, nil
	}
	process := strconv.FormatUint(incarnation, 36)
	name := filepath.Join(tune.QuotaAudit, member+"-"+process+".audit")
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("quota.audit: %w", err)
	}
	w, err := audit.NewWriter(f, audit.Header{Member: member, Process: process, StartedMs: start.UnixMilli()}, func(err error) {
		log.Error().Err(err).Msg("audit ends, the history has a gap from here on")
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("quota.audit: %w", err), f.Close())
	}
	log.Info().Str("file", name).Msg("audit begins")
	return &auditLog{writer: w}, nil
}

// appender returns what takes records, or nil.
func (a *auditLog) appender() func(audit.Record) {
	if a == nil {
		return nil
	}
	return a.writer.Append
}

func (a *auditLog) close() error {
	if a == nil {
		return nil
	}
	return a.writer.Close()
}

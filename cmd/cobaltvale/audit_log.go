package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cobaltvale/cobaltvale/internal/audit"
)

// incarnationRadix is the base in which a file's name has the process's incarnation.
const incarnationRadix = 36

// auditLog is the history that this process keeps. A nil auditLog keeps none.
type auditLog struct{ writer *audit.Writer }

// openAuditLog begins this process's history in the directory that quota.audit names, or
// returns nil if it names none. The file belongs to the history, which close closes.
func openAuditLog(p processConfig) (*auditLog, error) {
	if p.tuning.QuotaAudit == "" {
		return nil, nil
	}
	incarnation := strconv.FormatUint(p.incarnation, incarnationRadix)
	name := filepath.Join(p.tuning.QuotaAudit, p.file.Member+"-"+incarnation+".audit")
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("quota.audit: %w", err)
	}
	header := audit.Header{Member: p.file.Member, Process: incarnation, StartedMs: p.start.UnixMilli()}
	writer, err := audit.NewWriter(file, header, func(err error) {
		p.log.Error().Err(err).Str("file", name).Msg("audit log failed, records are lost from here on")
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("quota.audit: %w", err), file.Close())
	}
	p.log.Info().Str("file", name).Msg("audit log opened")
	return &auditLog{writer: writer}, nil
}

// appender returns what takes records, or nil.
func (a *auditLog) appendFunc() func(audit.Record) {
	if a == nil {
		return nil
	}
	return a.writer.Append
}

// close ends the history with its last segment.
func (a *auditLog) close() error {
	if a == nil {
		return nil
	}
	return a.writer.Close()
}

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cobaltvale/cobaltvale/internal/audit"
)

// incarnationRadix is the base of the process's incarnation number in the names of audit
// logs.
const incarnationRadix = 36

// auditLog is the log of admissions that this process writes. A nil auditLog records
// nothing.
type auditLog struct{ writer *audit.Writer }

// openAuditLog creates this process's audit log in the directory of the quota.audit
// property, or returns nil if the property is not set. The file is closed by close.
func openAuditLog(config processConfig) (*auditLog, error) {
	if config.tuning.QuotaAudit == "" {
		return nil, nil
	}
	incarnation := strconv.FormatUint(config.incarnation, incarnationRadix)
	name := filepath.Join(config.tuning.QuotaAudit, config.file.Member+"-"+incarnation+".audit")
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("quota.audit: %w", err)
	}
	header := audit.Header{Member: config.file.Member, Process: incarnation, StartedMs: config.start.UnixMilli()}
	writer, err := audit.NewWriter(file, header, func(err error) {
		config.log.Error().Err(err).Str("file", name).Msg("audit log failed, records are lost from here on")
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("quota.audit: %w", err), file.Close())
	}
	config.log.Info().Str("file", name).Msg("audit log opened")
	return &auditLog{writer: writer}, nil
}

// appendFunc returns the function that records are passed to, or nil for a nil auditLog.
func (a *auditLog) appendFunc() func(audit.Record) {
	if a == nil {
		return nil
	}
	return a.writer.Append
}

// close writes the last segment and closes the file.
func (a *auditLog) close() error {
	if a == nil {
		return nil
	}
	return a.writer.Close()
}

// Package logging creates the loggers of the components of a process. Each component has a fixed prefix.
package logging

import (
	"io"

	"github.com/charmbracelet/log"
)

// Level names accepted by New.
const (
	LevelDebug = "debug"
	LevelInfo  = "info"
	LevelWarn  = "warn"
	LevelError = "error"
)

// New returns the root logger of a process. An unknown level means info.
// With json set, each line is a JSON object.
func New(w io.Writer, level string, json bool) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	options := log.Options{Level: parsed, ReportTimestamp: true}
	if json {
		options.Formatter = log.JSONFormatter
	}
	return log.NewWithOptions(w, options)
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger {
	return log.New(io.Discard)
}

// Err returns the text of an error for a log line. Given the error itself, the logger would also print the
// stack trace that pkg/errors attaches.
func Err(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

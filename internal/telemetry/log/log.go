// Package log provides the logger: one line of key=value pairs for each event.
//
// # Usage
//
//	l, err := log.New(os.Stderr, "info")
//	l.Info("ticket-accepted", "ticket", 7, "revision", 12)
//
// The first argument is the event's name, in kebab case; names are stable across
// versions. docs/operators/observe.md lists the events. Keys and secrets are
// never logged.
package log

import (
	"io"
	"log/slog"

	"agateward/internal/result/code"

	"github.com/go-logr/logr"
)

// Levels for logr's V. Events of single requests have LevelDebug.
const (
	LevelInfo  = 0
	LevelDebug = 4
)

// New returns a logger that writes events of level and above to w. level is
// "error", "info" or "debug".
func New(w io.Writer, level string) (logr.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return logr.Discard(), code.SettingsInvalid.New("log level %q: allowed are error, info and debug", level)
	}
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: l, ReplaceAttr: renameMessageKey})
	return logr.FromSlogHandler(h), nil
}

// renameMessageKey changes the key of the message, which is an event's name, to
// "event".
func renameMessageKey(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = "event"
	}
	return a
}

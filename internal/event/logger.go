package event

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Fields holds the variable data of an event. A field must never contain a caller's
// API key.
type Fields = logrus.Fields

// Logger writes events. The zero value is not usable; use New or Discard.
type Logger struct {
	entry *logrus.Entry
}

// New returns a logger that writes events of at least the given severity to w, as
// JSON if json is set and as text otherwise.
func New(w io.Writer, json bool, level logrus.Level) *Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	if json {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return &Logger{entry: logrus.NewEntry(logger)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, false, logrus.PanicLevel)
}

// With returns a logger that adds the fields to every event.
func (l *Logger) With(fields Fields) *Logger {
	return &Logger{entry: l.entry.WithFields(fields)}
}

// Log writes an event. Its number is added as field "event".
func (l *Logger) Log(e Event, fields Fields) {
	l.entry.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Text)
}

package event

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Fields are the variable parts of an event. A field never holds a caller's key.
type Fields = logrus.Fields

// Logger writes events. The zero value is not usable; see New and Discard.
type Logger struct {
	entry *logrus.Entry
}

// New returns a logger that writes to w, as JSON when json is set and as text
// otherwise.
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

// With returns a logger that adds the fields to each event.
func (l *Logger) With(fields Fields) *Logger {
	return &Logger{entry: l.entry.WithFields(fields)}
}

// Log writes one event with its number in the field "event".
func (l *Logger) Log(e Event, fields Fields) {
	l.entry.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Text)
}

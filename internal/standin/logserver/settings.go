package logserver

import "time"

// Settings of a log server. Zero values mean the defaults.
type Settings struct {
	// AppendsPerSecond limits appends over all streams; default 300.
	AppendsPerSecond float64
	// RetainFor is how long a record is kept; 0 means no limit.
	RetainFor time.Duration
	// RetainRecords is how many records a stream keeps; 0 means no limit.
	RetainRecords int
	// MaxRecordBytes limits the data of one record; default 1 MiB.
	MaxRecordBytes int
}

const (
	defaultAppendsPerSecond = 300
	defaultMaxRecordBytes   = 1 << 20
	// maxWait bounds the long poll that a reader may ask for.
	maxWait = 30 * time.Second
	// maxBatch bounds the records of one answer.
	maxBatch = 4096
)

func (s Settings) withDefaults() Settings {
	if s.AppendsPerSecond <= 0 {
		s.AppendsPerSecond = defaultAppendsPerSecond
	}
	if s.MaxRecordBytes <= 0 {
		s.MaxRecordBytes = defaultMaxRecordBytes
	}
	return s
}

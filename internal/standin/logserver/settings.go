package logserver

import "time"

// Settings configures a Server. Zero values select the defaults.
type Settings struct {
	// AppendsPerSecond limits the append rate of all streams together. The default is
	// 300.
	AppendsPerSecond float64
	// RetainFor is the maximum age of a record; 0 means no limit.
	RetainFor time.Duration
	// RetainRecords is the maximum number of records in a stream; 0 means no limit.
	RetainRecords int
	// MaxRecordBytes limits the data size of a record. The default is 1 MiB.
	MaxRecordBytes int
}

const (
	defaultAppendsPerSecond = 300
	defaultMaxRecordBytes   = 1 << 20
	// maxPollWait limits the wait time that a long poll can request.
	maxPollWait = 30 * time.Second
	// maxRecordsPerRead limits the number of records in one response.
	maxRecordsPerRead = 4096
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

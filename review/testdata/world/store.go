package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings file of a process names them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 4 * time.Millisecond
	pageRecords = 500
	pageBytes   = 1 << 20
	// storedBytes is how much the store holds in total.
	storedBytes = 400_000_000
)

// logRecord is one record of a partition with its offset.
type logRecord struct {
	offset  int64
	content []byte
}

// key returns the key and the value of a record of a keyed topic.
func (r logRecord) key() (key string, value []byte) {
	if len(r.content) == 0 || 1+int(r.content[0]) > len(r.content) {
		return "", nil
	}
	n := 1 + int(r.content[0])
	return string(r.content[1:n]), r.content[n:]
}

// logPartition is one partition of a topic. It processes its appends one at a time.
type logPartition struct {
	appendMu sync.Mutex

	mu      sync.Mutex
	records []logRecord
	newest  map[string]logRecord
	grown   chan struct{}
}

// Store is a stand-in for the platform's store: a log with keyed topics.
type Store struct {
	record *Record

	mu         sync.Mutex
	partitions map[string]*logPartition
	// refused counts appends that were refused because a record is too long, and full those that
	// were because the store is.
	refused, full int
	// stored is the total size of all records. None expires within a case: their retention time is
	// 300 s.
	stored int
	// writes counts the calls that write, by the second since the start.
	writes map[int]int
}

// NewStore returns an empty store.
func NewStore(record *Record) *Store {
	return &Store{record: record, partitions: make(map[string]*logPartition), writes: make(map[int]int)}
}

func (s *Store) partition(topic, part string) *logPartition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &logPartition{newest: make(map[string]logRecord), grown: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

// Put writes a record of the operator or of a replica.
func (s *Store) Put(topic, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.partition("keyed."+topic, "0").append([][]byte{append(content, value...)}, -1)
	s.addStored(len(content) + len(value))
}

// append appends records if the partition ends at the offset at, or at is negative.
func (p *logPartition) append(contents [][]byte, at int64) (offset, end int64, ok bool) {
	p.appendMu.Lock()
	defer p.appendMu.Unlock()
	time.Sleep(appendTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	offset = int64(len(p.records))
	if at >= 0 && at != offset {
		return offset, offset, false
	}
	for _, content := range contents {
		r := logRecord{int64(len(p.records)), content}
		p.records = append(p.records, r)
		if key, value := r.key(); len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = r
		}
	}
	if len(contents) > 0 {
		close(p.grown)
		p.grown = make(chan struct{})
	}
	return offset, int64(len(p.records)), true
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	p := s.partition(query.Get("topic"), query.Get("part"))
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.mu.Lock()
		s.writes[int(s.record.Since().Seconds())]++
		s.mu.Unlock()
		s.serveAppend(w, r, p, body)
	case "GET /api/log-read":
		s.serveRead(w, r, p)
	case "GET /api/log-newest":
		s.serveNewest(w, r, p)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, p *logPartition, body []byte) {
	query := r.URL.Query()
	topic := query.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	at := int64(-1)
	if text := query.Get("at"); text != "" {
		var err error
		if at, err = strconv.ParseInt(text, 10, 64); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	var contents [][]byte
	total := 0
	for len(body) > 0 {
		if len(body) < 4 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		length := int(binary.BigEndian.Uint32(body))
		total += length
		if length > recordBytes || total > callBytes {
			s.refuseLong(w, topic, query.Get("part"), length)
			return
		}
		contents = append(contents, body[4:4+length])
		body = body[4+length:]
	}
	if !s.addStored(total) {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	offset, end, ok := p.append(contents, at)
	if !ok {
		s.addStored(-total)
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

// addStored counts bytes that are stored. It reports false, and counts nothing, if they don't fit.
func (s *Store) addStored(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.stored+n > storedBytes {
		s.full++
		if s.full == 1 {
			s.record.Log("store", map[string]any{"refused": "store is full", "stored": s.stored})
		}
		return false
	}
	s.stored += n
	return true
}

// Stored returns the total size of all records, and the number of appends that were refused because
// the store is full.
func (s *Store) Stored() (size, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored, s.full
}

// MostWrites returns the largest number of writing calls in a second.
func (s *Store) MostWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, n := range s.writes {
		most = max(most, n)
	}
	return most
}

// refuseLong refuses a call with a record above the limit. Nothing is appended.
func (s *Store) refuseLong(w http.ResponseWriter, topic, part string, length int) {
	s.mu.Lock()
	s.refused++
	count := s.refused
	s.mu.Unlock()
	if count <= 3 || count%50 == 0 {
		s.record.Log("store", map[string]any{"refused": "record too long", "topic": topic, "part": part, "bytes": length, "count": count})
	}
	w.WriteHeader(http.StatusRequestEntityTooLarge)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, p *logPartition) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, maxKB := 0, 1024
	if text := query.Get("wait_ms"); text != "" {
		wait, _ = strconv.Atoi(text)
	}
	if text := query.Get("max_kb"); text != "" {
		maxKB, _ = strconv.Atoi(text)
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		p.mu.Lock()
		records, grown := p.records, p.grown
		p.mu.Unlock()
		if from < int64(len(records)) || !waiting {
			w.Write(encodeRecords(records, from, maxKB<<10))
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords returns the end, the first retained offset and the records from an offset on.
func encodeRecords(records []logRecord, from int64, limit int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for n := from; n < int64(len(records)); n++ {
		content := records[n].content
		if len(body)+4+len(content) > limit && n > from {
			break
		}
		body = append(binary.BigEndian.AppendUint32(body, uint32(len(content))), content...)
	}
	return body
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request, p *logPartition) {
	after := r.URL.Query().Get("after")
	p.mu.Lock()
	end := len(p.records)
	var keys []string
	newest := make(map[string]logRecord, len(p.newest))
	for key, record := range p.newest {
		if key > after {
			keys = append(keys, key)
			newest[key] = record
		}
	}
	p.mu.Unlock()
	sort.Strings(keys)
	items := []map[string]any{}
	size := 0
	for _, key := range keys {
		_, value := newest[key].key()
		if len(items) == pageRecords || (size+len(value) > pageBytes && len(items) > 0) {
			break
		}
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": newest[key].offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": len(items) < len(keys), "end": end})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	io.WriteString(w, strings.TrimSpace(string(body)))
}

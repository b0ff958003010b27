package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: a log with keyed topics of one partition.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
	// down holds the topics whose partition answers 503.
	down map[string]bool
}

// maxPageBytes is what a read returns at most (maxKb, 1,024), and maxRecordBytes what a record
// has at most.
const (
	maxPageBytes   = 1024 << 10
	maxRecordBytes = 262144
)

type entry struct {
	key   string
	value []byte
}

// newStore starts a store.
func newStore() *store {
	s := &store{topics: map[string][]entry{}, changed: make(chan struct{}), down: map[string]bool{}}
	s.address = listenHTTP(s)
	return s
}

// listenHTTP serves on a free loopback port and returns the address.
func listenHTTP(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// put appends a record as the operator or a worker does; nil removes the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	switch v := value.(type) {
	case nil:
	case []byte:
		data = v
	default:
		var err error
		data, err = json.Marshal(v)
		must(err)
	}
	if 1+len(key)+len(data) > maxRecordBytes {
		panic(fmt.Sprintf("a record of %d bytes", len(data)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, entry{key, data})
}

func (s *store) append(topic string, e entry) int {
	s.topics[topic] = append(s.topics[topic], e)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic])
}

// setDown makes the partition of a topic answer 503, or serve again.
func (s *store) setDown(topic string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[topic] = down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	s.mu.Lock()
	down := s.down[topic]
	s.mu.Unlock()
	if down {
		http.Error(w, "log unavailable", http.StatusServiceUnavailable)
		return
	}
	// An answer takes 4 ms, as the sheet of the site says.
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/log-append":
		s.handleAppend(w, r, topic)
	case "/log-read":
		s.handleRead(w, r, topic)
	case "/log-newest":
		s.handleNewest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 6 || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	n := int(body[4])
	e := entry{string(body[5 : 5+n]), append([]byte(nil), body[5+n:]...)}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	end = s.append(topic, e)
	writeJSON(w, http.StatusOK, map[string]any{"offset": end - 1, "end": end})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, e := range records[min(from, len(records)):] {
				// A call returns 1 MB, but one record at least.
				if len(out) > 16 && len(out)+5+len(e.key)+len(e.value) > maxPageBytes {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
				out = append(append(append(out, byte(len(e.key))), e.key...), e.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]int{}
	for i, e := range s.topics[topic] {
		newest[e.key] = i
	}
	keys := []string{}
	for key, i := range newest {
		if len(s.topics[topic][i].value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys {
		i := newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(s.topics[topic][i].value), "offset": i})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "end": len(s.topics[topic])})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// cloud is a stand-in of the platform's API for duties. It accepts what is fenced properly.
type cloud struct {
	address string
	mu      sync.Mutex
	fences  map[string]int64
}

func newCloud() *cloud {
	c := &cloud{fences: map[string]int64{}}
	c.address = listenHTTP(c)
	return c
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Zone string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	subject := r.URL.Path + " " + body.Service + " " + body.Zone
	if token < c.fences[subject] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.fences[subject] = token
	writeJSON(w, http.StatusOK, map[string]any{})
}

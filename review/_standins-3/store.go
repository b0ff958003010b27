package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one record of a topic.
type entry struct {
	content []byte
	at      time.Time
}

// topicLog is partition 0 of a topic.
type topicLog struct{ records []entry }

// store is a stand-in of the platform's metadata store, as far as the system uses it: appends
// with a condition, reads that wait, and the newest records of keyed topics. It is
// linearizable and loses nothing that it has acknowledged, but in a drill.
type store struct {
	w       *world
	address string

	mu      sync.Mutex
	topics  map[string]*topicLog
	changed chan struct{}
	era     int
	// away is set while the store gives no answers: connections are reset.
	away bool
}

func newStore(w *world) (*store, error) {
	s := &store{w: w, topics: map[string]*topicLog{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.30.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

func (s *store) topic(name string) *topicLog {
	t := s.topics[name]
	if t == nil {
		t = &topicLog{}
		s.topics[name] = t
	}
	return t
}

// ServeHTTP serves the calls of the system, and /standin/put of the workers.
func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Store-Era", strconv.Itoa(era))
	switch r.URL.Path {
	case "/log-append":
		s.handleAppend(rw, r, body)
	case "/log-read":
		s.handleRead(rw, r, era)
	case "/log-newest":
		s.handleNewest(rw, r)
	case "/standin/put":
		s.put(r.URL.Query().Get("topic"), r.URL.Query().Get("key"), body)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) handleAppend(rw http.ResponseWriter, r *http.Request, body []byte) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		rw.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if text := r.URL.Query().Get("at"); text != "" && text != strconv.Itoa(len(t.records)) {
		s.answer(rw, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
		return
	}
	offset := len(t.records)
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			break
		}
		t.records = append(t.records, entry{content: append([]byte(nil), body[4:4+size]...), at: time.Now()})
		body = body[4+size:]
	}
	s.notify()
	s.answer(rw, http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)})
}

func (s *store) answer(rw http.ResponseWriter, status int, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(value)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record for the operator or a worker, and returns when it is acknowledged.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	content := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, entry{content: append(content, value...), at: time.Now()})
	s.notify()
}

// putJSON writes a record for the operator.
func (s *store) putJSON(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, data)
	if len(data) > 160 {
		data = append(data[:160:160], "..."...)
	}
	s.w.note("the store acknowledges %s %s = %s", topic, key, data)
}

func (s *store) handleRead(rw http.ResponseWriter, r *http.Request, era int) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(waitMs, 30_000))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		records, changed, lost := t.records, s.changed, s.away || s.era != era
		s.mu.Unlock()
		switch {
		case lost:
			panic(http.ErrAbortHandler)
		case from > len(records):
			s.answer(rw, http.StatusGone, map[string]any{"first": 0})
			return
		case from < len(records) || ctx.Err() != nil:
			page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			page = binary.BigEndian.AppendUint64(page, 0)
			for _, one := range records[from:] {
				if len(page) > 1<<20 {
					break
				}
				page = binary.BigEndian.AppendUint32(page, uint32(len(one.content)))
				page = append(page, one.content...)
			}
			_, _ = rw.Write(page)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// newest returns the offset of the newest record of each key with a value.
func (t *topicLog) newest() map[string]int {
	offsets := map[string]int{}
	for i, one := range t.records {
		key, value := split(one.content)
		if len(value) == 0 {
			delete(offsets, key)
			continue
		}
		offsets[key] = i
	}
	return offsets
}

func split(content []byte) (key string, value []byte) {
	if len(content) == 0 || int(content[0]) >= len(content) {
		return "", nil
	}
	return string(content[1 : 1+int(content[0])]), content[1+int(content[0]):]
}

func (s *store) handleNewest(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	offsets := t.newest()
	var keys []string
	for key := range offsets {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	const page = 500
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), page)] {
		_, value := split(t.records[offsets[key]].content)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offsets[key]})
	}
	s.answer(rw, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > page, "end": len(t.records)})
}

// value returns the newest value of a key, nil if there is none.
func (s *store) value(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	offset, known := t.newest()[key]
	if !known {
		return nil
	}
	_, value := split(t.records[offset].content)
	return value
}

// expireServers removes the reports of workers that have been silent for three heartbeats, as
// the platform does.
func (s *store) expireServers(heartbeat time.Duration) {
	for range time.Tick(heartbeat / 4) {
		s.mu.Lock()
		t := s.topic("keyed.servers")
		var gone []string
		for key, offset := range t.newest() {
			if time.Since(t.records[offset].at) > 3*heartbeat && !s.away {
				gone = append(gone, key)
			}
		}
		s.mu.Unlock()
		for _, key := range gone {
			s.put("keyed.servers", key, nil)
			s.w.note("the report of %s is removed", strings.TrimSpace(key))
		}
	}
}

// order is a record that the operator wrote.
type order struct {
	key   string
	value []byte
}

// drill makes the store give no answers for a while and come back from a copy: what was written
// since the copy was made is gone. It returns the operator's records among that, in their order,
// which are to be written again. The workers write theirs again at their next heartbeat.
func (s *store) drill(copiedAt time.Time, away time.Duration) []order {
	s.mu.Lock()
	s.away = true
	s.notify()
	s.mu.Unlock()
	s.w.note("drill: the store is away")
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	var again []order
	for name, t := range s.topics {
		kept := 0
		for kept < len(t.records) && t.records[kept].at.Before(copiedAt) {
			kept++
		}
		lost := t.records[kept:]
		t.records = append([]entry(nil), t.records[:kept]...)
		for i := range t.records {
			// No report of a worker expires before its next heartbeat.
			t.records[i].at = time.Now()
		}
		if name == "keyed.op" {
			for _, one := range lost {
				key, value := split(one.content)
				again = append(again, order{key, value})
			}
		}
		s.w.note("drill: %s ends at %d again, %d records are gone", name, kept, len(lost))
	}
	s.era++
	s.away = false
	s.notify()
	return again
}

// writeAgain writes records of the operator again.
func (s *store) writeAgain(orders []order) {
	for _, one := range orders {
		s.put("keyed.op", one.key, one.value)
		s.w.note("keyed.op %s is written again", one.key)
	}
}

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Topics of the store that the system uses.
const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// store stands in for the platform's store: a log with keyed topics of one partition each. It loses nothing.
type store struct {
	addr string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

// newStore starts a store on a free port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		addr:    l.Addr().String(),
		topics:  make(map[string][][]byte),
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.appendRecords)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes the value of a key, as the operator and the servers do.
func (s *store) put(topic, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.add(topic, append(content, value...))
}

func (s *store) add(topic string, contents ...[]byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], contents...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) appendRecords(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var contents [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		contents = append(contents, body[:n])
		body = body[n:]
	}
	offset := s.add(r.URL.Query().Get("topic"), contents...)
	writeJSON(w, map[string]int{
		"offset": offset,
		"end":    offset + len(contents),
	})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			return
		}
		if from < len(records) || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, content := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
		out = append(out, content...)
	}
	_, _ = w.Write(out)
}

// item is a record of log-newest.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	latest := make(map[string]item)
	var keys []string
	for offset, content := range records {
		n := int(content[0])
		key, value := string(content[1:1+n]), content[1+n:]
		if _, known := latest[key]; !known {
			keys = append(keys, key)
		}
		latest[key] = item{
			Key:    key,
			Value:  base64.StdEncoding.EncodeToString(value),
			Offset: offset,
		}
	}
	items := []item{}
	for _, key := range keys {
		if latest[key].Value != "" {
			items = append(items, latest[key])
		}
	}
	writeJSON(w, map[string]any{
		"items":    items,
		"has-more": false,
		"end":      len(records),
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

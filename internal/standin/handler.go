package standin

import (
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/platform/weightstore"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
	"github.com/marigoldmux/marigoldmux/internal/upstream/plain"
)

const maxRequestBody = 16 << 20

// PlatformHandler serves the platform's four services over HTTP: log, host list,
// cloud API and weight store.
func PlatformHandler(log logsvc.Log, hosts hostlist.Source, api cloud.API, weights weightstore.Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/v1/streams/{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		var req logsvc.AppendRequest
		if !decode(w, r, &req) {
			return
		}
		offset, err := log.Append(r.Context(), r.PathValue("stream"), req.ID, req.Data)
		if errors.Is(err, logsvc.ErrOutcomeUnknown) {
			panic(http.ErrAbortHandler)
		}
		reply(w, logsvc.AppendResponse{Offset: offset}, err, http.StatusServiceUnavailable)
	})
	mux.HandleFunc("GET /log/v1/streams/{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		serveRead(w, r, log)
	})
	mux.HandleFunc("GET /hostlist/v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		serveHosts(w, r, hosts)
	})
	mux.HandleFunc("POST /cloud/v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		var req cloud.StartRequest
		if !decode(w, r, &req) {
			return
		}
		reply(w, struct{}{}, api.Start(r.Context(), req), http.StatusConflict)
	})
	mux.HandleFunc("DELETE /cloud/v1/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, api.Stop(r.Context(), r.PathValue("id")), http.StatusServiceUnavailable)
	})
	mux.HandleFunc("GET /cloud/v1/notices", func(w http.ResponseWriter, r *http.Request) {
		notices, err := api.Notices(r.Context())
		reply(w, notices, err, http.StatusServiceUnavailable)
	})
	mux.HandleFunc("POST /weights/v1/loads", func(w http.ResponseWriter, r *http.Request) {
		var load weightstore.Reservation
		if !decode(w, r, &load) {
			return
		}
		err := weights.Reserve(r.Context(), load)
		var limited *weightstore.RateLimitedError
		if errors.As(err, &limited) {
			w.Header().Set("Retry-After", strconv.FormatFloat(limited.RetryAfter.Seconds(), 'f', 3, 64))
		}
		reply(w, struct{}{}, err, http.StatusTooManyRequests)
	})
	return mux
}

// serveHosts sends the list, or status 304 if the hosts match the caller's ETag.
func serveHosts(w http.ResponseWriter, r *http.Request, hosts hostlist.Source) {
	list, err := hosts.Hosts(r.Context())
	if err != nil {
		reply(w, nil, err, http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(list.Hosts)
	if err != nil {
		reply(w, nil, err, http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", etag)
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		reply(w, list, nil, 0)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	gz := gzip.NewWriter(w)
	_ = json.NewEncoder(gz).Encode(list)
	_ = gz.Close()
}

func serveRead(w http.ResponseWriter, r *http.Request, log logsvc.Log) {
	query := r.URL.Query()
	from, fromErr := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(query.Get("limit"))
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err := errors.Join(fromErr, limitErr, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := log.Read(r.Context(), r.PathValue("stream"), from, limit, time.Duration(wait)*time.Millisecond)
	var truncated *logsvc.TruncatedError
	if errors.As(err, &truncated) {
		w.Header().Set("Oldest-Offset", strconv.FormatInt(truncated.Oldest, 10))
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	reply(w, page, err, http.StatusServiceUnavailable)
}

// EngineHandler serves an engine over HTTP.
func EngineHandler(e engine.Engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", func(w http.ResponseWriter, r *http.Request) { serveGenerate(w, r, e) })
	mux.HandleFunc("DELETE /v1/generate/{id}", func(w http.ResponseWriter, r *http.Request) {
		replyUpstream(w, struct{}{}, e.Cancel(r.Context(), r.PathValue("id")))
	})
	mux.HandleFunc("POST /v1/kv/export", func(w http.ResponseWriter, r *http.Request) {
		var req engine.ExportRequest
		if !decode(w, r, &req) {
			return
		}
		kv, err := e.ExportKV(r.Context(), req.ID)
		replyUpstream(w, kv, err)
	})
	mux.HandleFunc("POST /v1/kv/import", func(w http.ResponseWriter, r *http.Request) {
		var kv engine.KV
		if decode(w, r, &kv) {
			replyUpstream(w, struct{}{}, e.ImportKV(r.Context(), kv))
		}
	})
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, r *http.Request) {
		load, err := e.Load(r.Context())
		replyUpstream(w, load, err)
	})
	mux.HandleFunc("GET /v1/cache/events", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		events, err := e.CacheEvents(r.Context(), after)
		replyUpstream(w, events, err)
	})
	mux.HandleFunc("POST /v1/orders", func(w http.ResponseWriter, r *http.Request) {
		var order engine.Order
		if !decode(w, r, &order) {
			return
		}
		err := e.Order(r.Context(), order)
		if errors.Is(err, engine.ErrStaleFence) {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		replyUpstream(w, struct{}{}, err)
	})
	return mux
}

func serveGenerate(w http.ResponseWriter, r *http.Request, e engine.Engine) {
	var req engine.GenerateRequest
	if !decode(w, r, &req) {
		return
	}
	stream, err := e.Generate(r.Context(), req)
	if err != nil {
		replyUpstream(w, nil, err)
		return
	}
	defer func() { _ = stream.Close() }()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		chunk, err := stream.Next()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		data, err := json.Marshal(chunk)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		_ = flusher.Flush()
		if chunk.Done {
			return
		}
	}
}

// PlainHandler serves a plain service over HTTP.
func PlainHandler(service plain.Service) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls/{route}", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(plain.HeaderRequestID)
		w.Header().Set(plain.HeaderRequestID, id)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := service.Call(r.Context(), plain.Call{RequestID: id, Route: r.PathValue("route"), Body: body})
		if err != nil && upstream.KindOf(err) == upstream.Mismatched {
			answer = plain.Response{RequestID: "another-request", ContentType: "application/json"}
			err = nil
		}
		if err != nil {
			replyUpstream(w, nil, err)
			return
		}
		w.Header().Set("Content-Type", answer.ContentType)
		w.Header().Set(plain.HeaderRequestID, answer.RequestID)
		_, _ = w.Write(answer.Body)
	})
	return mux
}

// replyUpstream replies as an upstream would. Errors other than refused, faulted
// and invalid abort the connection.
func replyUpstream(w http.ResponseWriter, out any, err error) {
	if err == nil {
		reply(w, out, nil, 0)
		return
	}
	switch upstream.KindOf(err) {
	case upstream.Refused:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case upstream.Faulted:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	case upstream.Invalid:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		panic(http.ErrAbortHandler)
	}
}

func decode(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody)).Decode(in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, out any, err error, status int) {
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

package connlimit

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/testaddr"
	"github.com/marigoldmux/marigoldmux/internal/testcert"
)

const (
	waitTimeout = 20 * time.Second
	request     = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
)

// server is a server behind a listener of a gate.
type server struct {
	t        *testing.T
	address  string
	listener *Listener
}

// serve starts a server that answers requests with handler.
func serve(t *testing.T, g *Gate, reserved int, handler http.HandlerFunc) *server {
	inner, err := net.Listen("tcp4", testaddr.Next()+":0")
	require.NoError(t, err)
	s := &server{t: t, address: inner.Addr().String(), listener: g.Listen(inner, reserved, Plain)}
	s.start(handler, s.listener)
	return s
}

func (s *server) start(handler http.HandlerFunc, listener net.Listener) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	web := &http.Server{Handler: Handler(handler), ConnState: ConnState, ConnContext: ConnContext, Protocols: protocols}
	go func() { _ = web.Serve(listener) }()
	s.t.Cleanup(func() { _ = web.Close() })
}

func (s *server) dial() *caller {
	conn, err := net.DialTimeout("tcp4", s.address, waitTimeout)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return &caller{t: s.t, Conn: conn, reader: bufio.NewReader(conn)}
}

// open returns the numbers of connections of the listener, of which some are idle.
func (s *server) open() (all, unused int) {
	s.listener.gate.mu.Lock()
	defer s.listener.gate.mu.Unlock()
	return s.listener.open, s.listener.idle.Len()
}

func (s *server) awaitOpen(all, unused int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		nowAll, nowUnused := s.open()
		return nowAll == all && nowUnused == unused
	}, waitTimeout, time.Millisecond)
}

// caller is a connection of a caller.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.Conn, text)
	require.NoError(c.t, err)
}

// status returns the status of the next response, 0 if the connection ends before it.
func (c *caller) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (c *caller) ask() int {
	c.t.Helper()
	c.send(request)
	return c.status()
}

func ok(http.ResponseWriter, *http.Request) {}

// A listener that is full closes the connection that has been idle longest.
func TestIdleLongestYieldsToANewConnection(t *testing.T) {
	g := NewGate(2, 0)
	s := serve(t, g, 2, ok)
	first, second := s.dial(), s.dial()
	require.Equal(t, http.StatusOK, second.ask())
	// A connection becomes idle shortly after its response has arrived.
	s.awaitOpen(2, 2)
	require.Equal(t, http.StatusOK, first.ask())
	s.awaitOpen(2, 2)
	require.Equal(t, http.StatusOK, s.dial().ask())
	require.Zero(t, second.status())
	require.Equal(t, http.StatusOK, first.ask())
	require.EqualValues(t, 1, g.ClosedIdle())
}

// A connection waits rather than that a request in progress, or the beginning of one, is cut.
func TestRequestInProgressDoesNotYield(t *testing.T) {
	proceed := make(chan struct{})
	s := serve(t, NewGate(1, 0), 1, func(http.ResponseWriter, *http.Request) { <-proceed })
	first := s.dial()
	first.send(request)
	s.awaitOpen(1, 0)
	second := s.dial()
	second.send(request)
	time.Sleep(2 * slowHeadAfter)
	close(proceed)
	require.Equal(t, http.StatusOK, first.status())
	require.Equal(t, http.StatusOK, second.status())
}

// A head that does not end yields when no connection is idle, and says that it may return.
func TestSlowHeadYieldsToANewConnection(t *testing.T) {
	g := NewGate(1, 0)
	s := serve(t, g, 1, ok)
	slow := s.dial()
	slow.send("GET / HTTP/1.1\r\nHost: a.ex")
	s.awaitOpen(1, 0)
	require.Equal(t, http.StatusOK, s.dial().ask())
	require.Equal(t, http.StatusServiceUnavailable, slow.status())
	require.EqualValues(t, 1, g.RefusedHeads())
}

// Listeners keep the connections that are reserved for them while another takes the rest.
func TestFullListenerLeavesOthersTheirPart(t *testing.T) {
	g := NewGate(6, 0)
	proceed := make(chan struct{})
	defer close(proceed)
	crowded := serve(t, g, 1, func(http.ResponseWriter, *http.Request) { <-proceed })
	other := serve(t, g, 2, ok)
	for range 10 {
		crowded.dial().send(request)
	}
	crowded.awaitOpen(4, 0)
	a, b := other.dial(), other.dial()
	require.Equal(t, http.StatusOK, a.ask())
	require.Equal(t, http.StatusOK, b.ask())
	require.Equal(t, http.StatusOK, a.ask())
}

// A listener that closes while a connection waits for room does not hold up a planned stop.
func TestClosedListenerEndsTheWaitForRoom(t *testing.T) {
	g := NewGate(1, 0)
	inner, err := net.Listen("tcp4", testaddr.Next()+":0")
	require.NoError(t, err)
	s := &server{t: t, address: inner.Addr().String(), listener: g.Listen(inner, 1, Plain)}
	s.dial()
	_, err = s.listener.Accept()
	require.NoError(t, err)
	s.listener.idle.Init()
	ended := make(chan error, 1)
	go func() {
		_, err := s.listener.Accept()
		ended <- err
	}()
	s.dial()
	require.NoError(t, s.listener.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}

// The server has read a request together with the one before it when its connection is closed
// to make room: the request is not passed on.
func TestRequestOfAClosedConnectionIsNotPassedOn(t *testing.T) {
	conn := &Conn{listener: NewGate(1, 0).Listen(nil, 1, Plain)}
	conn.move(idle)
	conn.move(closed)
	handler := Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { require.Fail(t, "passed on") }))
	r, err := http.NewRequestWithContext(ConnContext(context.Background(), conn), http.MethodGet, "/", nil)
	require.NoError(t, err)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { handler.ServeHTTP(nil, r) })
}

// longHead is the beginning of a head that takes about a number of bytes of memory.
func longHead(bytes int) string {
	return "GET / HTTP/1.1\r\nHost: a.example\r\nX-Long: " + strings.Repeat("a", bytes) + "\r\n"
}

// Heads that are refused leave room for those of others, and give back what they took.
func TestLongHeadsYieldToShortOnes(t *testing.T) {
	const memory = 64 << 10
	g := NewGate(100, memory)
	s := serve(t, g, 100, ok)
	var long []*caller
	for range 20 {
		c := s.dial()
		c.send(longHead(24 << 10))
		long = append(long, c)
	}
	refused := func() bool { return g.RefusedHeads() > 0 }
	require.Eventually(t, refused, waitTimeout, time.Millisecond)
	for range 20 {
		require.Equal(t, http.StatusOK, s.dial().ask())
	}
	for _, c := range long {
		_ = c.Close()
	}
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.heads.free == memory
	}, waitTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, func() int {
		c := s.dial()
		c.send(longHead(24<<10) + "\r\n")
		return c.status()
	}())
}

// A head is kept until its request has its response, so it counts until then.
func TestHeadsOfRequestsInProgressCount(t *testing.T) {
	proceed := make(chan struct{})
	g := NewGate(100, 64<<10)
	s := serve(t, g, 100, func(http.ResponseWriter, *http.Request) { <-proceed })
	first, second := s.dial(), s.dial()
	first.send(longHead(32<<10) + "\r\n")
	s.awaitOpen(2, 1)
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.heads.free < 40<<10
	}, waitTimeout, time.Millisecond)
	second.send(longHead(32<<10) + "\r\n")
	require.Equal(t, http.StatusServiceUnavailable, second.status())
	close(proceed)
	require.Equal(t, http.StatusOK, first.status())
	first.send(longHead(24<<10) + "\r\n")
	require.Equal(t, http.StatusOK, first.status())
}

// Bodies do not count as heads, however they arrive.
func TestBodiesDoNotCountAsHeads(t *testing.T) {
	s := serve(t, NewGate(100, 0), 100, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	c := s.dial()
	body := strings.Repeat("\n", 100<<10)
	for range 3 {
		c.send("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 102400\r\n\r\n" + body)
		require.Equal(t, http.StatusOK, c.status())
	}
}

// Requests that arrive together, and in any pieces, are read as they were sent.
func TestPipelinedRequestsAreReadAsSent(t *testing.T) {
	s := serve(t, NewGate(100, 64<<10), 100, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+" "+string(body))
	})
	rapid.Check(t, func(t *rapid.T) {
		var sent strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 5).Draw(t, "requests") {
			body := strings.Repeat("b\r\n\r\n", rapid.SampledFrom([]int{0, 0, 1, 10, 2000}).Draw(t, "body"))
			head := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a.example\r\nX-Long: %s\r\n", i,
				strings.Repeat("a", rapid.SampledFrom([]int{0, 10, 5000}).Draw(t, "head")))
			want = append(want, fmt.Sprintf("/%d %s", i, body))
			if rapid.Bool().Draw(t, "chunked") {
				chunk := ""
				if body != "" {
					chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
				}
				sent.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n")
				continue
			}
			fmt.Fprintf(&sent, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		}
		pieces := rapid.SampledFrom([]int{1, 2, 7, 1000, 1 << 20}).Draw(t, "pieces")
		c := s.dial()
		defer func() { _ = c.Close() }()
		go func() {
			for text := sent.String(); text != ""; {
				n := max(len(text)/pieces, min(len(text), 1))
				_, _ = io.WriteString(c.Conn, text[:n])
				text = text[n:]
			}
		}()
		for _, content := range want {
			resp, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || string(got) != content {
				t.Fatalf("got %q and %v", got, err)
			}
		}
	})
}

// The end of a head is found however it is cut into pieces.
func TestEndOfAHeadIsFound(t *testing.T) {
	for _, text := range []string{"GET / HTTP/1.1\r\nA: b\r\n\r\n", "GET / HTTP/1.1\nA: b\n\n", "G\r\n\r\n", "\r\nA\r\r\n\r\n"} {
		for first := range len(text) {
			var scan headScan
			n, lines := scan.next([]byte(text[:first]))
			require.Equal(t, first, n)
			n, more := scan.next([]byte(text[first:] + "x\n\n"))
			require.Equal(t, len(text)-first, n, "%q", text)
			require.Equal(t, strings.Count(text, "\n"), lines+more)
		}
	}
}

// The heads of many streams of one connection count, and short ones are served.
func TestHeadsOfStreamsCount(t *testing.T) {
	for name, encrypted := range map[string]Encryption{"plain": Plain, "encrypted": Encrypted} {
		t.Run(name, func(t *testing.T) {
			const memory = 64 << 10
			g := NewGate(100, memory)
			s, client := serveStreams(t, g, encrypted)
			ask := func(headBytes int) int {
				req, err := http.NewRequest(http.MethodGet, s.address, nil)
				require.NoError(t, err)
				req.Header.Set("X-Long", strings.Repeat("a", headBytes))
				resp, err := client.Do(req)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, 2, resp.ProtoMajor)
				return resp.StatusCode
			}
			for range 50 {
				require.Equal(t, http.StatusOK, ask(10))
				require.Equal(t, http.StatusOK, ask(16<<10))
				require.Equal(t, http.StatusServiceUnavailable, ask(40<<10))
			}
			s.awaitOpen(1, 1)
			require.Equal(t, memory, g.heads.free)
		})
	}
}

// serveStreams starts a server and returns it with a client that speaks HTTP/2 with it.
func serveStreams(t *testing.T, g *Gate, encryption Encryption) (*server, *http.Client) {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetHTTP2(true)
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	inner, err := net.Listen("tcp4", testaddr.Next()+":0")
	require.NoError(t, err)
	s := &server{t: t, address: "http://" + inner.Addr().String(), listener: g.Listen(inner, 100, encryption)}
	if encryption == Plain {
		s.start(ok, s.listener)
		return s, &http.Client{Transport: transport, Timeout: waitTimeout}
	}
	authority := testcert.New(t)
	cert, err := tls.LoadX509KeyPair(authority.Issue(t))
	require.NoError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(authority.Cert)
	transport.TLSClientConfig = &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}
	config := &tls.Config{Certificates: []tls.Certificate{cert}, NextProtos: []string{"h2"}}
	s.address = "https://" + inner.Addr().String()
	s.start(ok, tls.NewListener(s.listener, config))
	return s, &http.Client{Transport: transport, Timeout: waitTimeout}
}

func TestAcceptedConnectionsLeaveDescriptors(t *testing.T) {
	require.Equal(t, 2600, acceptedOf(4100))
	require.Equal(t, 200, acceptedOf(400))
	require.Equal(t, maxAccepted, acceptedOf(1<<30))
	require.Equal(t, maxAccepted, acceptedOf(1<<63))
}

// BenchmarkRequest compares a request on a kept connection with and without a gate.
func BenchmarkRequest(b *testing.B) {
	head := "GET / HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("X-Some-Header: value\r\n", 12) + "\r\n"
	for name, bounded := range map[string]bool{"bare": false, "bounded": true} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp4", testaddr.Next()+":0")
			require.NoError(b, err)
			web := &http.Server{Handler: http.HandlerFunc(ok)}
			if bounded {
				web = &http.Server{Handler: Handler(web.Handler), ConnState: ConnState, ConnContext: ConnContext}
				listener = NewGate(100, 64<<10).Listen(listener, 100, Plain)
			}
			go func() { _ = web.Serve(listener) }()
			defer func() { _ = web.Close() }()
			conn, err := net.Dial("tcp4", listener.Addr().String())
			require.NoError(b, err)
			defer func() { _ = conn.Close() }()
			response := make([]byte, 4<<10)
			for b.Loop() {
				_, _ = io.WriteString(conn, head)
				_, _ = conn.Read(response)
			}
		})
	}
}

// A caller has connected to a full listener, and its request is on its way when others connect.
func TestNewConnectionDoesNotYieldBeforeItsRequestCanArrive(t *testing.T) {
	s := serve(t, NewGate(1, 0), 1, ok)
	s.dial()
	s.awaitOpen(1, 1)
	l := s.listener
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	first := l.idle.Front().Value.(*Conn)
	first.since = time.Now().Add(time.Minute)
	require.Nil(t, l.idleLongest())
	first.since = time.Now().Add(-yieldAfter)
	require.Equal(t, first, l.idleLongest())
}

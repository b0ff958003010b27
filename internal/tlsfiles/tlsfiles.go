// Package tlsfiles keeps TLS configurations that follow their files: a
// certificate that is replaced on disk is used from then on, without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/event"
)

// ErrFiles is the root of errors that say the files are not usable.
var ErrFiles = eris.New("TLS files are not usable")

// checkInterval is the least time between two looks at the files.
const checkInterval = 10 * time.Second

var (
	eventReloaded = event.Define(501, zapcore.InfoLevel, "TLS files read again")
	eventBroken   = event.Define(502, zapcore.ErrorLevel, "TLS files changed and are not usable")
)

// Files names the files, all PEM.
type Files struct {
	Cert, Key string
	// PeerCA holds the authority of the peers' certificates; empty for none.
	PeerCA string
}

// Source gives configurations that follow the files.
type Source struct {
	files  Files
	events *event.Logger
	now    func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	cert    *tls.Certificate
	peers   *x509.CertPool
}

// Load reads the files. Its error is ErrFiles.
func Load(files Files, events *event.Logger) (*Source, error) {
	s := &Source{files: files, events: events, now: time.Now}
	s.checked, s.stamps = s.now(), s.stat()
	return s, s.read()
}

// read takes the content of the files; on an error the old one stays.
func (s *Source) read() error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return eris.Wrap(ErrFiles, err.Error())
	}
	var peers *x509.CertPool
	if s.files.PeerCA != "" {
		pem, err := os.ReadFile(s.files.PeerCA)
		if err != nil {
			return eris.Wrap(ErrFiles, err.Error())
		}
		peers = x509.NewCertPool()
		if !peers.AppendCertsFromPEM(pem) {
			return eris.Wrapf(ErrFiles, "%s holds no certificate", s.files.PeerCA)
		}
	}
	s.cert, s.peers = &cert, peers
	return nil
}

// stat returns the times at which the files changed.
func (s *Source) stat() (stamps [3]time.Time) {
	for i, path := range []string{s.files.Cert, s.files.Key, s.files.PeerCA} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

// current returns what the files held when they were last usable.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) < checkInterval {
		return s.cert, s.peers
	}
	s.checked = now
	if stamps := s.stat(); stamps != s.stamps {
		s.stamps = stamps
		if err := s.read(); err != nil {
			s.events.Emit(eventBroken, zap.Error(err))
		} else {
			s.events.Emit(eventReloaded)
		}
	}
	return s.cert, s.peers
}

// Server returns the configuration of a listener. Clients may show a
// certificate of the peers' authority; one of another is refused.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, peers := s.current()
			config := &tls.Config{
				MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert},
				NextProtos: []string{"h2", "http/1.1"},
			}
			if peers != nil {
				config.ClientCAs, config.ClientAuth = peers, tls.VerifyClientCertIfGiven
			}
			return config, nil
		},
	}
}

// Peer returns the configuration for a call to a peer.
func (s *Source) Peer() *tls.Config {
	cert, peers := s.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, RootCAs: peers,
		NextProtos: []string{"h2"},
	}
}

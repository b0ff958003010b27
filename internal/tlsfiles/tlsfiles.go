// Package tlsfiles provides TLS configurations that are reloaded when their files
// change, so that a certificate can be replaced on disk without a restart.
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

// ErrFiles is the root of errors about TLS files that cannot be read or used.
var ErrFiles = eris.New("TLS files are not usable")

// checkInterval is the minimum time between two checks of the files.
const checkInterval = 10 * time.Second

var (
	eventReloaded     = event.Define(501, zapcore.InfoLevel, "TLS files reloaded")
	eventReloadFailed = event.Define(502, zapcore.ErrorLevel, "changed TLS files are invalid")
)

// Files holds the paths of the TLS files, all in PEM format.
type Files struct {
	Cert, Key string
	// PeerCA is the path of the CA certificates for peers; empty for none.
	PeerCA string
}

// Source provides TLS configurations with the current content of the files.
type Source struct {
	files  Files
	events *event.Logger
	now    func() time.Time

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	peers     *x509.CertPool
}

// Load reads the files. Its error is ErrFiles.
func Load(files Files, events *event.Logger) (*Source, error) {
	s := &Source{files: files, events: events, now: time.Now}
	s.checkedAt, s.modTimes = s.now(), s.statModTimes()
	return s, s.read()
}

// read loads the files. On an error, it keeps the content loaded before.
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

// statModTimes returns the modification times of the files, zero where
// os.Stat fails.
func (s *Source) statModTimes() (modTimes [3]time.Time) {
	for i, path := range []string{s.files.Cert, s.files.Key, s.files.PeerCA} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// current returns the last valid content of the files, which it reloads if they
// have changed.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checkedAt) < checkInterval {
		return s.cert, s.peers
	}
	s.checkedAt = now
	if modTimes := s.statModTimes(); modTimes != s.modTimes {
		s.modTimes = modTimes
		if err := s.read(); err != nil {
			s.events.Emit(eventReloadFailed, zap.Error(err))
		} else {
			s.events.Emit(eventReloaded)
		}
	}
	return s.cert, s.peers
}

// Server returns the configuration of a listener. With a peer CA, clients may
// present a certificate, which must be signed by that CA.
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

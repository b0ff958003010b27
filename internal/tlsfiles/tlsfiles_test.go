package tlsfiles

import (
	"crypto/x509"
	"math/big"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/testcert"
)

func serial(t *testing.T, s *Source) *big.Int {
	config, err := s.Server().GetConfigForClient(nil)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(config.Certificates[0].Certificate[0])
	require.NoError(t, err)
	return cert.SerialNumber
}

func TestReplacedFilesAreUsedAndBrokenOnesAreNot(t *testing.T) {
	a := testcert.New(t)
	certFile, keyFile := a.Issue(t)
	s, err := Load(Files{Cert: certFile, Key: keyFile, PeerCA: a.CAFile}, event.Discard())
	require.NoError(t, err)
	now := time.Now()
	s.now = func() time.Time { return now }
	require.Equal(t, big.NewInt(2), serial(t, s))

	a.Issue(t)
	changed := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(certFile, changed, changed))
	now = now.Add(checkInterval)
	require.Equal(t, big.NewInt(3), serial(t, s))

	require.NoError(t, os.WriteFile(certFile, []byte("half a file"), 0o600))
	now = now.Add(checkInterval)
	require.Equal(t, big.NewInt(3), serial(t, s), "a broken file must not stop the host")

	_, err = Load(Files{Cert: certFile, Key: keyFile}, event.Discard())
	require.ErrorIs(t, err, ErrFiles)
}

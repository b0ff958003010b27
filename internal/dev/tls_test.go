package dev_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/admin"
	"github.com/marigoldmux/marigoldmux/internal/dev"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/settings"
	"github.com/marigoldmux/marigoldmux/internal/testcert"
)

// TestHostsUseTLS runs three hosts with mutual TLS and a secret: they reach one
// another, and a caller without a certificate is served but cannot make peer calls.
func TestHostsUseTLS(t *testing.T) {
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	a := testcert.New(t)
	certFile, keyFile := a.Issue(t)
	system, err := dev.Start(dev.Options{
		Config: config, Hosts: 3, Events: event.Discard(), Seed: 1, Secret: []byte("a deployment's secret"),
		TLS: &settings.TLS{CertFile: certFile, KeyFile: keyFile, PeerCAFile: a.CAFile},
	})
	require.NoError(t, err)
	defer system.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, system.AwaitReady(ctx))

	roots := x509.NewCertPool()
	roots.AddCert(a.Cert)
	caller := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	base := "https://" + system.Hosts[0].Self().Address
	resp, err := caller.Get(base + "/admin/v1/status")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var status admin.Status
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&status))
	require.True(t, status.Everywhere, "hosts do not reach one another: %v", status.Hosts)

	const inspect = "/peer.v1.PeerService/Inspect"
	resp, err = caller.Post(base+inspect, "application/json", strings.NewReader("{}"))
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	resp, err = http.Get("http://" + system.Hosts[0].Self().Address + "/healthz")
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode, "plain HTTP is served beside TLS")
}

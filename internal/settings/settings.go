// Package settings reads the settings file of one entry host.
package settings

import (
	"encoding/json"
	"net"
	"net/url"
	"os"
	"regexp"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

// ErrInvalid is the root of errors about files that Load cannot read.
var ErrInvalid = eris.New("settings are not valid")

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Settings is the settings file of an entry host.
type Settings struct {
	// Host is the ID of this host in the platform's host list.
	Host string `json:"host"`
	// Listen is the IP address and port to listen on.
	Listen string `json:"listen"`
	// Address is the IP address and port at which callers and peers reach this
	// host; empty means Listen.
	Address string `json:"address,omitempty"`
	// AvailabilityZone and Region are the names of this host's location.
	AvailabilityZone string   `json:"availabilityZone"`
	Region           string   `json:"region"`
	Platform         Platform `json:"platform"`
	// LogLevel is the lowest level that is logged; empty means "info".
	LogLevel string `json:"logLevel,omitempty"`
	// DrainTimeout limits how long a stop waits for requests; 0 means 30 s.
	DrainTimeout jsonc.Duration `json:"drainTimeout,omitempty"`
	// SecretFile is the path of the deployment's shared secret, from which the
	// keys of tickets and of peer calls are derived.
	SecretFile string `json:"secretFile,omitempty"`
	// TLS makes the host accept TLS connections only; nil disables TLS.
	TLS *TLS `json:"tls,omitempty"`
	// Modules holds the options of modules by module ID.
	Modules map[string]json.RawMessage `json:"modules,omitempty"`

	// Secret is the content of SecretFile, or is set by the program.
	Secret []byte `json:"-"`
}

// TLS holds the paths of PEM files, which are reloaded when they change.
type TLS struct {
	// CertFile and KeyFile are the host's certificate, issued for its address,
	// and its private key.
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// PeerCAFile is the CA that signs the certificates of all entry hosts and no
	// others. With it, peers must present a certificate.
	PeerCAFile string `json:"peerCAFile,omitempty"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log      string `json:"log"`
	HostList string `json:"hostList"`
	Cloud    string `json:"cloud"`
	Weights  string `json:"weights"`
}

// Parse decodes and validates settings. Its error is of type jsonc.Faults and
// lists every fault.
func Parse(src []byte) (*Settings, error) {
	parsed, err := jsonc.Parse(src)
	if err != nil {
		return nil, err
	}
	var s Settings
	if faults := parsed.Decode(&s); len(faults) > 0 {
		faults.Sort()
		return nil, faults
	}
	if s.Address == "" {
		s.Address = s.Listen
	}
	faults := check(parsed, &s)
	faults.Sort()
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Load reads a settings file and the secret file it names.
func Load(path string) (*Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	s, err := Parse(src)
	if err != nil {
		return nil, err
	}
	if s.SecretFile != "" {
		if s.Secret, err = os.ReadFile(s.SecretFile); err != nil {
			return nil, eris.Wrap(ErrInvalid, err.Error())
		}
	}
	return s, nil
}

func check(parsed *jsonc.Document, s *Settings) jsonc.Faults {
	var faults jsonc.Faults
	require := func(ok bool, path, format string, args ...any) {
		if !ok {
			faults = append(faults, parsed.Fault(path, format, args...))
		}
	}
	require(namePattern.MatchString(s.Host), "/host", "%q is not a name", s.Host)
	require(namePattern.MatchString(s.AvailabilityZone), "/availabilityZone", "%q is not a name", s.AvailabilityZone)
	require(namePattern.MatchString(s.Region), "/region", "%q is not a name", s.Region)
	require(isIPPort(s.Listen), "/listen", "%q is not an IP address and a port", s.Listen)
	require(isIPPort(s.Address), "/address", "%q is not an IP address and a port", s.Address)
	require(isURL(s.Platform.Log), "/platform/log", "%q is not an http or https URL", s.Platform.Log)
	require(isURL(s.Platform.HostList), "/platform/hostList", "%q is not an http or https URL", s.Platform.HostList)
	require(isURL(s.Platform.Cloud), "/platform/cloud", "%q is not an http or https URL", s.Platform.Cloud)
	require(isURL(s.Platform.Weights), "/platform/weights", "%q is not an http or https URL", s.Platform.Weights)
	require(s.DrainTimeout >= 0, "/drainTimeout", "want a duration of at least 0")
	if s.TLS != nil {
		require(s.TLS.CertFile != "", "/tls/certFile", "want the file of the certificate")
		require(s.TLS.KeyFile != "", "/tls/keyFile", "want the file of the key")
	}
	switch s.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		require(false, "/logLevel", `want "debug", "info", "warn" or "error"`)
	}
	return faults
}

func isIPPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

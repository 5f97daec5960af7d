package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/conf"
)

// TLSSettings are the files for mutual TLS on the links between hosts. Without
// them, links are unencrypted and the process logs a warning at its start.
type TLSSettings struct {
	Cert string
	Key  string
	CA   string
}

type fileTLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
}

// Enabled reports whether links use TLS.
func (t TLSSettings) Enabled() bool { return t.Cert != "" }

func (t TLSSettings) check(src conf.Source) conf.Faults {
	given := 0
	for _, f := range []string{t.Cert, t.Key, t.CA} {
		if f != "" {
			given++
		}
	}
	if given == 0 || given == 3 {
		return nil
	}
	return conf.Faults{src.Fault("tls", "cert, key and ca must be set together", "set all three or none")}
}

// ErrTLS marks errors of the TLS files, and peer certificates that are missing or cannot
// be parsed.
var ErrTLS = errors.New("tls files")

// Config returns the TLS configuration of links, or nil if TLS is disabled. The
// files are read again for every link, so replaced keys need no restart. While
// they cannot be loaded, as in the middle of a replacement, the last valid ones
// stay in force. report is called with the error, and with nil once the files can
// be loaded again.
func (t TLSSettings) Config(report func(error)) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	first, err := t.read()
	if err != nil {
		return nil, err
	}
	reloader := &certReloader{settings: t, report: report, lastValid: first}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		// A client's configuration is fixed once it dials, with no hook like the
		// server's GetConfigForClient. So verify replaces the built-in check: it reads
		// the authority's file for each connection.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: reloader.verify,
		GetCertificate:        func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return reloader.cert(), nil },
		GetClientCertificate:  func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return reloader.cert(), nil },
		GetConfigForClient:    func(*tls.ClientHelloInfo) (*tls.Config, error) { return reloader.serverConfig(), nil },
	}, nil
}

// identity is the content of the three files.
type identity struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// read loads all three files, or none of them.
func (t TLSSettings) read() (identity, error) {
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return identity{}, errors.Mark(errors.Wrap(err, "load key pair"), ErrTLS)
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return identity{}, errors.Mark(errors.Wrap(err, "read certificate authority"), ErrTLS)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return identity{}, errors.Mark(errors.Newf("no certificate in %s", t.CA), ErrTLS)
	}
	return identity{cert, pool}, nil
}

// certReloader reads the files for each connection and keeps their last valid content.
type certReloader struct {
	settings TLSSettings
	report   func(error)

	mu        sync.Mutex
	lastValid identity
	// lastFault is the fault that was reported last; empty while the files are valid.
	lastFault string
}

// reload reads the files and returns their last valid content. It reports a fault
// when it appears or changes, and nil once the files are valid again.
func (r *certReloader) reload() identity {
	latest, err := r.settings.read()
	r.mu.Lock()
	defer r.mu.Unlock()
	fault := ""
	if err != nil {
		fault = err.Error()
	} else {
		r.lastValid = latest
	}
	if fault != r.lastFault && r.report != nil {
		r.report(err)
	}
	r.lastFault = fault
	return r.lastValid
}

// cert returns this host's certificate, for either side of a connection.
func (r *certReloader) cert() *tls.Certificate {
	latest := r.reload()
	return &latest.cert
}

// serverConfig returns the server side's configuration.
func (r *certReloader) serverConfig() *tls.Config {
	latest := r.reload()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{latest.cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: latest.pool,
	}
}

// verify checks a server's certificate against the authority alone. It does not
// check names and addresses because they change whenever a host is replaced.
func (r *certReloader) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return errors.Mark(errors.New("peer sent no certificate"), ErrTLS)
	}
	peerCert, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Mark(errors.Wrap(err, "parse peer certificate"), ErrTLS)
	}
	intermediates := x509.NewCertPool()
	for _, b := range raw[1:] {
		if c, err := x509.ParseCertificate(b); err == nil {
			intermediates.AddCert(c)
		}
	}
	_, err = peerCert.Verify(x509.VerifyOptions{
		Roots: r.reload().pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify peer")
}

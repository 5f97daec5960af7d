package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/conf"
)

// TLSSettings are the files for mutual TLS on the links between hosts. With
// none, links are open and the process says so at its start.
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

// On tells whether links use TLS.
func (t TLSSettings) On() bool { return t.Cert != "" }

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
	return conf.Faults{src.Fault("tls", "cert, key and ca go together", "give all three or none")}
}

// ErrTLS marks faults of the TLS files.
var ErrTLS = errors.New("tls files")

// Config returns the TLS configuration of links, or nil when it is off. The
// files are read anew for every link, so replaced keys need no restart.
func (t TLSSettings) Config() (*tls.Config, error) {
	if !t.On() {
		return nil, nil
	}
	if _, err := t.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		// A client takes its configuration once; verification below reads the
		// authority's file each time, for both sides.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: t.verify,
		GetCertificate:        func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return t.cert() },
		GetClientCertificate:  func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return t.cert() },
		GetConfigForClient:    func(*tls.ClientHelloInfo) (*tls.Config, error) { return t.load() },
	}, nil
}

func (t TLSSettings) cert() (*tls.Certificate, error) {
	c, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "load key pair"), ErrTLS)
	}
	return &c, nil
}

func (t TLSSettings) pool() (*x509.CertPool, error) {
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read authority"), ErrTLS)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Mark(errors.Newf("no certificate in %s", t.CA), ErrTLS)
	}
	return pool, nil
}

// load returns the server side's configuration from the files as they are now.
func (t TLSSettings) load() (*tls.Config, error) {
	c, err := t.cert()
	if err != nil {
		return nil, err
	}
	pool, err := t.pool()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*c},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}, nil
}

// verify checks a server's certificate against the authority. Hosts are known
// by the authority alone: their names and addresses change with every
// replacement.
func (t TLSSettings) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	pool, err := t.pool()
	if err != nil {
		return err
	}
	if len(raw) == 0 {
		return errors.Mark(errors.New("peer shows no certificate"), ErrTLS)
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Mark(errors.Wrap(err, "parse peer certificate"), ErrTLS)
	}
	between := x509.NewCertPool()
	for _, b := range raw[1:] {
		if c, err := x509.ParseCertificate(b); err == nil {
			between.AddCert(c)
		}
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify peer")
}

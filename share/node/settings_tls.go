package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

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

// Enabled tells whether links use TLS.
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
	return conf.Faults{src.Fault("tls", "cert, key and ca go together", "give all three or none")}
}

// ErrTLS marks faults of the TLS files.
var ErrTLS = errors.New("tls files")

// Config returns the TLS configuration of links, or nil when it is off. The
// files are read anew for every link, so replaced keys need no restart. While
// they cannot be used, as in the middle of a replacement, the last good ones stay
// in force, and fault is told why; it is told nil once they can be used again.
func (t TLSSettings) Config(fault func(error)) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	first, err := t.read()
	if err != nil {
		return nil, err
	}
	k := &keeper{settings: t, fault: fault, last: first}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		// A client takes its configuration once; verification below reads the
		// authority's file each time, for both sides.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: k.verify,
		GetCertificate:        func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.cert(), nil },
		GetClientCertificate:  func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.cert(), nil },
		GetConfigForClient:    func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.server(), nil },
	}, nil
}

// identity is what the three files say together.
type identity struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// read takes all three files, or none of them.
func (t TLSSettings) read() (identity, error) {
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return identity{}, errors.Mark(errors.Wrap(err, "load key pair"), ErrTLS)
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return identity{}, errors.Mark(errors.Wrap(err, "read authority"), ErrTLS)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return identity{}, errors.Mark(errors.Newf("no certificate in %s", t.CA), ErrTLS)
	}
	return identity{cert, pool}, nil
}

// keeper holds the files' last good state.
type keeper struct {
	settings TLSSettings
	fault    func(error)

	mu   sync.Mutex
	last identity
	// failing is the fault that was told last; empty while the files are good.
	failing string
}

// current reads the files, and returns what they said when they last made sense.
func (k *keeper) current() identity {
	now, err := k.settings.read()
	k.mu.Lock()
	defer k.mu.Unlock()
	failing := ""
	if err != nil {
		failing = err.Error()
	} else {
		k.last = now
	}
	if failing != k.failing && k.fault != nil {
		k.fault(err)
	}
	k.failing = failing
	return k.last
}

func (k *keeper) cert() *tls.Certificate {
	now := k.current()
	return &now.cert
}

// server is the server side's configuration.
func (k *keeper) server() *tls.Config {
	now := k.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{now.cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: now.pool,
	}
}

// verify checks a server's certificate against the authority. Hosts are known
// by the authority alone: their names and addresses change with every
// replacement.
func (k *keeper) verify(raw [][]byte, _ [][]*x509.Certificate) error {
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
		Roots: k.current().pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify peer")
}

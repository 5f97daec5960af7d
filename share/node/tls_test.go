package node

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/mesh"
	"dandelionstile/share/wire"
)

// authority signs certificates for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return authority{cert, key}
}

// issue writes a host's key pair and the authority to files.
func (a authority) issue(t *testing.T) TLSSettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, body []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: body}), 0o600))
		return path
	}
	return TLSSettings{
		Cert: write("cert.pem", "CERTIFICATE", der), Key: write("key.pem", "EC PRIVATE KEY", private),
		CA: write("ca.pem", "CERTIFICATE", a.cert.Raw),
	}
}

// counter counts the links that come up.
type counter struct{ up atomic.Int64 }

// awaitLink waits until a link is up.
func (c *counter) awaitLink(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.up.Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("no link is up")
	}, poll.WithTimeout(5*time.Second))
}

func (c *counter) Up(*mesh.Link) { c.up.Add(1) }

func (c *counter) Frame(*mesh.Link, *wire.Envelope) {}

func (c *counter) Down(*mesh.Link, error) {}

func (c *counter) RTT(*mesh.Link, time.Duration) {}

// dialMesh starts a mesh with these settings that dials the address.
func dialMesh(t *testing.T, s TLSSettings, addr string) *counter {
	t.Helper()
	config, err := s.Config(nil)
	assert.NilError(t, err)
	c := &counter{}
	m := &mesh.Mesh{Hello: &wire.Hello{Host: "c"}, Handler: c, TLS: config}
	t.Cleanup(func() { assert.NilError(t, m.Close()) })
	m.Dial(addr)
	return c
}

// A host without a certificate of the authority could otherwise link up, read
// configurations and send updates.
func TestOnlyHostsOfTheAuthorityLinkUp(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	config, err := ours.issue(t).Config(nil)
	assert.NilError(t, err)
	server := &counter{}
	s := &mesh.Mesh{Hello: &wire.Hello{Host: "s"}, Handler: server, TLS: config}
	addr, err := s.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	untrusted := dialMesh(t, theirs.issue(t), addr.String())
	plain := dialMesh(t, TLSSettings{}, addr.String())
	trusted := dialMesh(t, ours.issue(t), addr.String())
	trusted.awaitLink(t)
	assert.Equal(t, untrusted.up.Load()+plain.up.Load(), int64(0))
	assert.Equal(t, server.up.Load(), trusted.up.Load())
}

// serveMesh starts a mesh with these settings and returns its address.
func serveMesh(t *testing.T, s TLSSettings, report func(error)) string {
	t.Helper()
	config, err := s.Config(report)
	assert.NilError(t, err)
	m := &mesh.Mesh{Hello: &wire.Hello{Host: "s"}, Handler: &counter{}, TLS: config}
	addr, err := m.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, m.Close()) })
	return addr.String()
}

// replaceWith overwrites these files with another host's.
func (s TLSSettings) replaceWith(t *testing.T, from TLSSettings) {
	t.Helper()
	for to, file := range map[string]string{s.Cert: from.Cert, s.Key: from.Key, s.CA: from.CA} {
		body, err := os.ReadFile(file)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(to, body, 0o600))
	}
}

// Operators replace keys and authority while hosts run. New links must use the new
// files without a restart, and a host that still has a certificate of the former
// authority must be rejected.
func TestReplacedKeysNeedNoRestart(t *testing.T) {
	former, next := newAuthority(t), newAuthority(t)
	files := former.issue(t)
	addr := serveMesh(t, files, nil)
	dialMesh(t, former.issue(t), addr).awaitLink(t)
	files.replaceWith(t, next.issue(t))
	formerHost := dialMesh(t, former.issue(t), addr)
	dialMesh(t, next.issue(t), addr).awaitLink(t)
	assert.Equal(t, formerHost.up.Load(), int64(0))
}

// Operators replace keys file by file, so for a moment key and certificate do not
// match. Links that come up in that moment must use the last valid files: otherwise the
// host is cut off from all others while it serves callers.
func TestHalfReplacedKeysKeepTheFormer(t *testing.T) {
	ours := newAuthority(t)
	files, other := ours.issue(t), ours.issue(t)
	var failures atomic.Int64
	var recoveries atomic.Int64
	addr := serveMesh(t, files, func(err error) {
		if err == nil {
			recoveries.Add(1)
			return
		}
		assert.Check(t, errors.Is(err, ErrTLS))
		failures.Add(1)
	})
	body, err := os.ReadFile(other.Key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.Key, body, 0o600))
	dialMesh(t, ours.issue(t), addr).awaitLink(t)
	dialMesh(t, ours.issue(t), addr).awaitLink(t)
	assert.Equal(t, failures.Load(), int64(1), "one fault must be reported once")
	assert.NilError(t, os.WriteFile(files.CA, []byte("-----BEGIN"), 0o600))
	files.replaceWith(t, other)
	dialMesh(t, ours.issue(t), addr).awaitLink(t)
	assert.Equal(t, recoveries.Load(), int64(1))
}

// The operator sees every fault of the file at once, each with its line. The check of
// fields that belong together runs only after the file decodes, so it has a file of
// its own here.
func TestSettingsFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.yaml")
	text := "host: {name: h}\nlisten: {links: here, admin: 127.0.0.1:1}\nplatform: {address: 127.0.0.1:2}\ntls: {cert: x}\nextra: 1\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err := Load(path)
	for _, want := range []string{
		"s.yaml:1: host.failure-domain: missing", `s.yaml:2: listen.links: "here" is not an IP and port`, "s.yaml:5: extra: unknown key",
	} {
		assert.ErrorContains(t, err, want)
	}
	text = "host: {name: h, failure-domain: d}\nlisten: {links: 127.0.0.1:3, admin: 127.0.0.1:1}\nplatform: {address: 127.0.0.1:2}\ntls: {cert: x}\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err = Load(path)
	assert.ErrorContains(t, err, "s.yaml:4: tls: cert, key and ca must be set together")
}

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

	"gotest.tools/v3/assert"

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

func (c *counter) Up(*mesh.Link) { c.up.Add(1) }

func (c *counter) Frame(*mesh.Link, *wire.Envelope) {}

func (c *counter) Down(*mesh.Link, error) {}

func (c *counter) RTT(*mesh.Link, time.Duration) {}

// dials starts a mesh with these settings that dials the address.
func dials(t *testing.T, s TLSSettings, addr string) *counter {
	t.Helper()
	config, err := s.Config()
	assert.NilError(t, err)
	c := &counter{}
	m := &mesh.Mesh{Hello: &wire.Hello{Host: "c"}, Handler: c, TLS: config}
	t.Cleanup(func() { assert.NilError(t, m.Close()) })
	m.Dial(addr)
	return c
}

// A stranger on the network links up as a host and reads configurations, or
// sends updates. Only hosts with a certificate of the authority may.
func TestOnlyHostsOfTheAuthorityLinkUp(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	config, err := ours.issue(t).Config()
	assert.NilError(t, err)
	server := &counter{}
	s := &mesh.Mesh{Hello: &wire.Hello{Host: "s"}, Handler: server, TLS: config}
	addr, err := s.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	stranger := dials(t, theirs.issue(t), addr.String())
	plain := dials(t, TLSSettings{}, addr.String())
	friend := dials(t, ours.issue(t), addr.String())
	for range 500 {
		if friend.up.Load() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, friend.up.Load() > 0, "a host of the authority links up")
	assert.Equal(t, stranger.up.Load()+plain.up.Load(), int64(0))
	assert.Equal(t, server.up.Load(), friend.up.Load())
}

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
	assert.ErrorContains(t, err, "s.yaml:4: tls: cert, key and ca go together")
}

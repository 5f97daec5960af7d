package node

import (
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/fetch"
	"dandelionstile/share/syncer"
	"dandelionstile/share/topo"
)

// Keys of the values that are distributed between hosts.
const (
	KeyConfig = "config"
	// KeyHostsPrefix begins the key of a failure domain's host list.
	KeyHostsPrefix = "hosts/"
	// manifestName is the manifest's name within the config set.
	manifestName = "manifest"
)

// Timeouts of platform reads.
const (
	readTimeout  = 3 * time.Second
	watchTimeout = 30 * time.Second
)

// ErrPlatform marks failed reads of the platform.
var ErrPlatform = errors.New("platform")

// platform reads the platform's configuration service and host lists. It caches
// the parts of the last configuration, so that only changed parts are read again.
type platform struct {
	engine  *fetch.Engine
	address string

	mu    sync.Mutex
	parts map[string][]byte // by hash
}

// read reads all items of a key. It returns nil for a watch that ends without a
// change, and for a configuration older than the one in force.
func (p *platform) read(r syncer.ReadPlatform) (*syncer.Set, error) {
	if r.Key == KeyConfig {
		return p.readConfig(r)
	}
	body, err := p.get(r.Key, r)
	if err != nil || body == nil {
		return nil, err
	}
	list, err := topo.ParseHosts(body)
	if err != nil {
		return nil, errors.Mark(err, ErrPlatform)
	}
	return NewHostSet(list), nil
}

// NewHostSet builds a set from a host list with one item per host, so that a
// change of one host is sent as one item.
func NewHostSet(list topo.HostList) *syncer.Set {
	items := make([]syncer.Item, len(list.Hosts))
	for i, h := range list.Hosts {
		items[i] = syncer.Item{
			Name: h.Name,
			// The format requires a version, which ParseHostSet ignores.
			Body: topo.HostList{Version: 1, Hosts: []topo.Host{h}}.Encode(),
		}
	}
	return syncer.NewSet(list.Version, items)
}

// ParseHostSet decodes the hosts of a set, in the order of their names.
func ParseHostSet(s *syncer.Set) ([]topo.Host, error) {
	hosts := make([]topo.Host, 0, len(s.Items))
	for _, it := range s.Sorted() {
		list, err := topo.ParseHosts(it.Body)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, list.Hosts...)
	}
	return hosts, nil
}

// readConfig reads the manifest and the parts that it lists.
func (p *platform) readConfig(r syncer.ReadPlatform) (*syncer.Set, error) {
	body, err := p.get(manifestName, r)
	if err != nil || body == nil {
		return nil, err
	}
	m, err := topo.ParseManifest(body)
	if err != nil {
		return nil, errors.Mark(err, ErrPlatform)
	}
	if r.After != 0 && m.Version < r.After {
		return nil, nil // stale: skip reading its parts
	}
	parts := make([]topo.Part, 0, len(m.Parts))
	for _, ref := range m.Parts {
		body, err := p.readPart(ref.Hash)
		if err != nil {
			return nil, err
		}
		parts = append(parts, topo.Part{Name: ref.Name, Body: body})
	}
	p.cacheParts(parts)
	return NewConfigSet(m.Version, parts), nil
}

// NewConfigSet builds a set from the operators' files.
func NewConfigSet(version uint64, parts []topo.Part) *syncer.Set {
	items := make([]syncer.Item, len(parts))
	for i, part := range parts {
		items[i] = syncer.Item(part)
	}
	return syncer.NewSet(version, items)
}

// configParts returns the operators' files of a set.
func configParts(s *syncer.Set) []topo.Part {
	parts := make([]topo.Part, 0, len(s.Items))
	for _, it := range s.Sorted() {
		parts = append(parts, topo.Part(it))
	}
	return parts
}

// readPart returns the content of a part of the configuration, from the cache or else
// from the platform. An error is returned if the content does not match the hash.
func (p *platform) readPart(hash string) ([]byte, error) {
	p.mu.Lock()
	body, ok := p.parts[hash]
	p.mu.Unlock()
	if ok {
		return body, nil
	}
	body, err := p.get("part/"+hash, syncer.ReadPlatform{})
	if err != nil {
		return nil, err
	}
	if got := (topo.Part{Body: body}).Hash(); got != hash {
		return nil, errors.Mark(errors.Newf("part %s has content hash %s", hash, got), ErrPlatform)
	}
	return body, nil
}

// cacheParts keeps the parts of one configuration and removes all others.
func (p *platform) cacheParts(parts []topo.Part) {
	byHash := make(map[string][]byte, len(parts))
	for _, part := range parts {
		byHash[part.Hash()] = part.Body
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts = byHash
}

// get reads one value. It returns nil if the value has not changed: a watch ends so
// after watchTimeout.
func (p *platform) get(key string, r syncer.ReadPlatform) ([]byte, error) {
	path := "/v1/values/" + url.PathEscape(key)
	timeout := readTimeout
	if r.Watch {
		path += fmt.Sprintf("?after=%s&wait-ms=%d", strconv.FormatUint(r.After, 10), watchTimeout.Milliseconds())
		timeout += watchTimeout
	}
	reply, err := fetch.Get(p.engine, p.address, path, timeout)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "read %s", key), ErrPlatform)
	}
	switch reply.Status {
	case 200:
		return reply.Body, nil
	case 304:
		return nil, nil
	}
	return nil, errors.Mark(errors.Newf("read %s: status %d", key, reply.Status), ErrPlatform)
}

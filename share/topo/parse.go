package topo

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"dandelionstile/share/clock"
	"dandelionstile/share/conf"
)

// MaxPartBytes is the size of the largest value that the platform's configuration
// service stores.
const MaxPartBytes = 1 << 20

// Defaults for keys that a service omits.
const (
	defaultWarmUp   = 10 * clock.Second
	defaultDeadline = 2 * clock.Second
	defaultPatience = 100
)

// Part is one of the operators' files. It holds any of the inventory's objects, the rules
// and the routes.
type Part struct {
	Name string
	Body []byte
}

// Hash returns the content hash by which a manifest refers to the part.
func (p Part) Hash() string { return fmt.Sprintf("%016x", xxhash.Sum64(p.Body)) }

// The file types below define the YAML keys and their validation; the types of Inventory
// and Rules have no tags.

type fileDomain struct {
	Name   string `yaml:"name" validate:"required"`
	Region string `yaml:"region" validate:"required"`
}

type fileLayout struct {
	ID     uint32 `yaml:"id" validate:"required"`
	Shards int    `yaml:"shards" validate:"gt=0,lte=100000"`
}

type fileService struct {
	Name     string       `yaml:"name" validate:"required"`
	Layouts  []fileLayout `yaml:"layouts" validate:"required,min=1,dive"`
	Warm     int64        `yaml:"warm-ms" validate:"gte=0"`
	Deadline int64        `yaml:"deadline-ms" validate:"gte=0,lte=600000"`
	Patience int          `yaml:"patience-percent" validate:"gte=0,lte=100"`
	Health   string       `yaml:"health-path" validate:"omitempty,startswith=/"`
}

type fileHold struct {
	Layout uint32 `yaml:"layout" validate:"required"`
	Shard  int    `yaml:"shard" validate:"gte=0"`
}

type fileLeaf struct {
	Name        string     `yaml:"name" validate:"required"`
	Slots       int        `yaml:"slots" validate:"gt=0,lte=10000"`
	Connections int        `yaml:"connections" validate:"gt=0,lte=100000"`
	Holds       []fileHold `yaml:"holds" validate:"required,min=1,dive"`
}

type fileServer struct {
	Name    string     `yaml:"name" validate:"required"`
	Service string     `yaml:"service" validate:"required"`
	Domain  string     `yaml:"failure-domain" validate:"required"`
	Address string     `yaml:"address" validate:"required,hostname_port"`
	Leaves  []fileLeaf `yaml:"leafs" validate:"required,min=1,dive"`
}

type fileServerLimit struct {
	Server string `yaml:"server" validate:"required"`
	Slots  int    `yaml:"slots" validate:"gte=0"`
	Out    bool   `yaml:"out"`
}

type fileNeverRepeat struct {
	Service   string `yaml:"service" validate:"required"`
	Operation string `yaml:"operation" validate:"required"`
}

type filePart struct {
	Domains  []fileDomain      `yaml:"failure-domains" validate:"dive"`
	Services []fileService     `yaml:"services" validate:"dive"`
	Servers  []fileServer      `yaml:"servers" validate:"dive"`
	Out      []string          `yaml:"out-of-service"`
	Carry    []fileServerLimit `yaml:"carry" validate:"dive"`
	Never    []fileNeverRepeat `yaml:"never-repeat" validate:"dive"`
	Routes   []fileRoute       `yaml:"routes" validate:"dive"`
}

// Parse builds a configuration from the operators' files. If there are faults, it
// returns no configuration and conf.Faults. The objects of a file that does not decode or
// validate are unknown, so that references to them from other files are reported too, and
// faults in its own references are found only once it validates.
func Parse(version uint64, parts []Part) (*Config, error) {
	var p Parser
	return p.Parse(version, parts)
}

// Parser parses successive configurations. It caches the parsed files, so that only
// changed files are parsed again: with 33,000 leaves, parsing all files takes
// seconds. The zero value is ready to use.
type Parser struct {
	parsed map[string]parsedPart // by name and hash
}

// parsedPart is the result of parsing a file.
type parsedPart struct {
	file   filePart
	source conf.Source
	faults conf.Faults
}

// Parse is like the function Parse, with the cache.
func (p *Parser) Parse(version uint64, parts []Part) (*Config, error) {
	b := builder{config: &Config{Version: version}, seen: map[entity]position{}}
	next := make(map[string]parsedPart, len(parts))
	for _, part := range parts {
		key := part.Name + " " + part.Hash()
		r, ok := p.parsed[key]
		if !ok {
			r = parsePart(part)
		}
		next[key] = r
		b.addPart(r)
	}
	p.parsed = next
	b.checkReferences()
	b.checkRoutes()
	if err := b.faults.Err(); err != nil {
		return nil, err
	}
	return b.config, nil
}

// parsePart parses a file. A file over MaxPartBytes is a fault and is not parsed.
func parsePart(p Part) parsedPart {
	if len(p.Body) > MaxPartBytes {
		return parsedPart{faults: conf.Faults{{
			File: p.Name, Line: 1, Problem: fmt.Sprintf("%d bytes, over the limit of %d", len(p.Body), MaxPartBytes),
			Hint: "split the file",
		}}}
	}
	var r parsedPart
	var err error
	r.source, err = conf.Decode(p.Name, p.Body, &r.file)
	if err != nil && !errors.As(err, &r.faults) {
		r.faults = conf.Faults{{File: p.Name, Line: 1, Problem: err.Error()}}
	}
	return r
}

// entity identifies an object whose name must be unique among its kind.
type entity struct{ kind, name string }

// position is a key in a file.
type position struct {
	src conf.Source
	key string
}

// builder collects the parts and remembers the position of each object, so that
// faults found across files can be reported with file and line.
type builder struct {
	config     *Config
	services   map[string]Service // by name; set by checkReferences
	faults     conf.Faults
	seen       map[entity]position
	servers    []serverPosition
	references []reference
	// routePositions are the positions of the configuration's routes, in their order.
	routePositions []position
}

// serverPosition is a server with its position. Its references are checked once all
// parts are added.
type serverPosition struct {
	server   Server
	position position
}

// reference is the name of an object in a rule or route. It is checked once all parts are
// added.
type reference struct {
	entity
	position position
}

// addPart adds the objects of a parsed file. Of a file with faults it adds only the faults.
func (b *builder) addPart(r parsedPart) {
	if len(r.faults) > 0 {
		b.faults = append(b.faults, r.faults...)
		return
	}
	b.addDomains(r.source, r.file)
	b.addServices(r.source, r.file)
	b.addServers(r.source, r.file)
	b.addRules(r.source, r.file)
	b.addRoutes(r.source, r.file)
}

// addFault records a fault of a key; the hint may be empty.
func (b *builder) addFault(src conf.Source, key, problem, hint string) {
	b.faults = append(b.faults, src.Fault(key, problem, hint))
}

// define records an object's position and reports a fault if its name is not unique.
func (b *builder) define(src conf.Source, kind, name, key string) {
	id := entity{kind, name}
	if first, ok := b.seen[id]; ok {
		b.addFault(src, key, fmt.Sprintf("%s %s is defined twice", kind, name),
			fmt.Sprintf("first at %s:%d", first.src.File, first.src.Line(first.key)))
		return
	}
	b.seen[id] = position{src, key}
}

// isDefined reports whether a part defines an object.
func (b *builder) isDefined(kind, name string) bool {
	_, ok := b.seen[entity{kind, name}]
	return ok
}

func (b *builder) addDomains(src conf.Source, f filePart) {
	for i, d := range f.Domains {
		b.define(src, "failure domain", d.Name, fmt.Sprintf("failure-domains[%d].name", i))
		b.config.Inventory.Domains = append(b.config.Inventory.Domains, Domain(d))
	}
}

func (b *builder) addServices(src conf.Source, f filePart) {
	for i, s := range f.Services {
		key := fmt.Sprintf("services[%d]", i)
		b.define(src, "service", s.Name, key+".name")
		service := Service{
			Name:       s.Name,
			WarmUp:     orDefault(clock.Milli(s.Warm), defaultWarmUp),
			Deadline:   orDefault(clock.Milli(s.Deadline), defaultDeadline),
			Patience:   orDefault(s.Patience, defaultPatience),
			HealthPath: orDefault(s.Health, defaultHealthPath),
		}
		for j, l := range s.Layouts {
			if _, twice := service.Layout(l.ID); twice {
				b.addFault(src, fmt.Sprintf("%s.layouts[%d].id", key, j), fmt.Sprintf("layout %d is defined twice", l.ID), "")
			}
			service.Layouts = append(service.Layouts, Layout(l))
		}
		b.config.Inventory.Services = append(b.config.Inventory.Services, service)
	}
}

// orDefault returns the value, or the default if the value is zero.
func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

func (b *builder) addServers(src conf.Source, f filePart) {
	for i, s := range f.Servers {
		key := fmt.Sprintf("servers[%d]", i)
		b.define(src, "server", s.Name, key+".name")
		server := Server{Name: s.Name, Service: s.Service, Domain: s.Domain, Address: s.Address}
		for j, l := range s.Leaves {
			leaf := Leaf{Name: l.Name, Slots: l.Slots, Connections: l.Connections}
			b.define(src, "leaf", l.Name, fmt.Sprintf("%s.leafs[%d].name", key, j))
			for _, h := range l.Holds {
				leaf.Holds = append(leaf.Holds, Hold(h))
			}
			server.Leaves = append(server.Leaves, leaf)
		}
		b.config.Inventory.Servers = append(b.config.Inventory.Servers, server)
		b.servers = append(b.servers, serverPosition{server, position{src, key}})
	}
}

// checkServer reports the references of a server that lead nowhere: its failure domain,
// its service, and the layouts and shards of its leaves.
func (b *builder) checkServer(src conf.Source, key string, s Server) {
	if !b.isDefined("failure domain", s.Domain) {
		b.addFault(src, key+".failure-domain", fmt.Sprintf("failure domain %q is not in the inventory", s.Domain), "")
	}
	service, ok := b.services[s.Service]
	if !ok {
		b.addFault(src, key+".service", fmt.Sprintf("service %q is not in the inventory", s.Service), "")
		return
	}
	for j, leaf := range s.Leaves {
		for k, h := range leaf.Holds {
			path := fmt.Sprintf("%s.leafs[%d].holds[%d]", key, j, k)
			layout, ok := service.Layout(h.Layout)
			switch {
			case !ok:
				b.addFault(src, path+".layout", fmt.Sprintf("service %s has no layout %d", s.Service, h.Layout), "")
			case h.Shard >= layout.Shards:
				b.addFault(src, path+".shard", fmt.Sprintf("shard %d is outside layout %d, which has %d shards", h.Shard, h.Layout, layout.Shards), "shards are numbered from 0")
			}
		}
	}
}

func (b *builder) addRules(src conf.Source, f filePart) {
	rules := &b.config.Rules
	for i, d := range f.Out {
		rules.DomainsOut = append(rules.DomainsOut, d)
		b.addReference(src, fmt.Sprintf("out-of-service[%d]", i), "failure domain", d)
	}
	for i, c := range f.Carry {
		rules.ServerLimits = append(rules.ServerLimits, ServerLimit(c))
		key := fmt.Sprintf("carry[%d]", i)
		// The kind is worded for the message of define.
		b.define(src, "carry rule for", c.Server, key+".server")
		b.addReference(src, key+".server", "server", c.Server)
		if c.Slots == 0 && !c.Out {
			b.addFault(src, key, "neither slots nor out is set", "to take the server out of service, set out: true")
		}
	}
	for i, n := range f.Never {
		rules.NeverRepeat = append(rules.NeverRepeat, NeverRepeat(n))
		b.addReference(src, fmt.Sprintf("never-repeat[%d].service", i), "service", n.Service)
	}
}

// addReference records that a rule or route refers to an object. checkReferences
// reports a fault if no part defines it.
func (b *builder) addReference(src conf.Source, key, kind, name string) {
	b.references = append(b.references, reference{entity{kind, name}, position{src, key}})
}

// checkReferences reports references to objects that no part defines.
func (b *builder) checkReferences() {
	b.services = make(map[string]Service, len(b.config.Inventory.Services))
	for _, s := range b.config.Inventory.Services {
		b.services[s.Name] = s
	}
	for _, s := range b.servers {
		b.checkServer(s.position.src, s.position.key, s.server)
	}
	for _, e := range b.references {
		if !b.isDefined(e.kind, e.name) {
			b.addFault(e.position.src, e.position.key, fmt.Sprintf("%s %q is not in the inventory", e.kind, e.name), "")
		}
	}
}

// Manifest lists the parts of a configuration by their hashes. Operators publish it
// last, after the parts.
type Manifest struct {
	Version uint64
	Parts   []PartRef
}

// PartRef refers to a part by its name and hash.
type PartRef struct {
	Name string
	Hash string
}

type fileRef struct {
	Name string `yaml:"name" validate:"required"`
	Hash string `yaml:"hash" validate:"required,len=16,hexadecimal"`
}

type fileManifest struct {
	Version uint64    `yaml:"version" validate:"required"`
	Parts   []fileRef `yaml:"parts" validate:"required,min=1,dive"`
}

// ParseManifest parses a manifest.
func ParseManifest(body []byte) (Manifest, error) {
	var f fileManifest
	if len(body) > MaxPartBytes {
		return Manifest{}, conf.Faults{{File: "manifest", Line: 1, Problem: "larger than 1 MiB"}}
	}
	if _, err := conf.Decode("manifest", body, &f); err != nil {
		return Manifest{}, err
	}
	m := Manifest{Version: f.Version}
	for _, p := range f.Parts {
		m.Parts = append(m.Parts, PartRef(p))
	}
	return m, nil
}

// Encode returns the manifest in the form that operators publish.
func (m Manifest) Encode() []byte {
	f := fileManifest{Version: m.Version}
	for _, p := range m.Parts {
		f.Parts = append(f.Parts, fileRef(p))
	}
	body, err := yaml.Marshal(f)
	if err != nil {
		return nil // strings and numbers always encode
	}
	return body
}

// NewManifest returns the manifest that lists these parts.
func NewManifest(version uint64, parts []Part) Manifest {
	m := Manifest{Version: version}
	for _, p := range parts {
		m.Parts = append(m.Parts, PartRef{Name: p.Name, Hash: p.Hash()})
	}
	return m
}

// ParseSnapshotID parses a snapshot ID of the form layout-version.
func ParseSnapshotID(s string) (SnapshotID, bool) {
	l, v, ok := strings.Cut(s, "-")
	if !ok {
		return SnapshotID{}, false
	}
	layout, err := strconv.ParseUint(l, 10, 32)
	if err != nil {
		return SnapshotID{}, false
	}
	version, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return SnapshotID{}, false
	}
	return SnapshotID{Layout: uint32(layout), Version: version}, true
}

// String returns the snapshot ID in the form layout-version.
func (s SnapshotID) String() string {
	return strconv.FormatUint(uint64(s.Layout), 10) + "-" + strconv.FormatUint(s.Version, 10)
}

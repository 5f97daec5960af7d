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

// MaxPartBytes is the largest value the platform's configuration service holds, in
// bytes.
const MaxPartBytes = 1 << 20

// Defaults of a service that does not say otherwise.
const (
	defaultWarm     = 10 * clock.Second
	defaultDeadline = 2 * clock.Second
	defaultPatience = 100
)

// Part is one of the operators' files: a fragment of the inventory, rules, or
// both.
type Part struct {
	Name string
	Body []byte
}

// Hash returns the content hash that a manifest names the part by.
func (p Part) Hash() string { return fmt.Sprintf("%016x", xxhash.Sum64(p.Body)) }

// The file types below carry the tags; Inventory and Rules stay free of them.

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
	Leafs   []fileLeaf `yaml:"leafs" validate:"required,min=1,dive"`
}

type fileCarry struct {
	Server string `yaml:"server" validate:"required"`
	Slots  int    `yaml:"slots" validate:"gte=0"`
	Out    bool   `yaml:"out"`
}

type fileNever struct {
	Service   string `yaml:"service" validate:"required"`
	Operation string `yaml:"operation" validate:"required"`
}

type filePart struct {
	Domains  []fileDomain  `yaml:"failure-domains" validate:"dive"`
	Services []fileService `yaml:"services" validate:"dive"`
	Servers  []fileServer  `yaml:"servers" validate:"dive"`
	Out      []string      `yaml:"out-of-service"`
	Carry    []fileCarry   `yaml:"carry" validate:"dive"`
	Never    []fileNever   `yaml:"never-repeat" validate:"dive"`
	Routes   []fileRoute   `yaml:"routes" validate:"dive"`
}

// Parse builds a configuration from the operators' files. On any fault it
// returns conf.Faults that list all of them, and no configuration.
func Parse(version uint64, parts []Part) (*Config, error) {
	var p Parser
	return p.Parse(version, parts)
}

// Parser reads configurations that follow each other. It keeps what it read of
// each file, so that a change costs the reading of the files that changed: at
// 33,000 leafs, reading all of them takes seconds. The zero value is ready.
type Parser struct {
	read map[string]readPart // by name and hash
}

// readPart is a file as it was read.
type readPart struct {
	file   filePart
	source conf.Source
	faults conf.Faults
}

// Parse is as the function of that name.
func (p *Parser) Parse(version uint64, parts []Part) (*Config, error) {
	b := builder{config: &Config{Version: version}, seen: map[named]place{}}
	next := make(map[string]readPart, len(parts))
	for _, part := range parts {
		key := part.Name + " " + part.Hash()
		r, ok := p.read[key]
		if !ok {
			r = readOne(part)
		}
		next[key] = r
		b.add(r)
	}
	p.read = next
	b.checkReferences()
	b.checkRoutes()
	if err := b.faults.Err(); err != nil {
		return nil, err
	}
	return b.config, nil
}

func readOne(p Part) readPart {
	if len(p.Body) > MaxPartBytes {
		return readPart{faults: conf.Faults{{
			File: p.Name, Line: 1, Problem: fmt.Sprintf("%d bytes, over the limit of %d", len(p.Body), MaxPartBytes),
			Hint: "split the file",
		}}}
	}
	var r readPart
	var err error
	r.source, err = conf.Decode(p.Name, p.Body, &r.file)
	if err != nil && !errors.As(err, &r.faults) {
		r.faults = conf.Faults{{File: p.Name, Line: 1, Problem: err.Error()}}
	}
	return r
}

// named is a thing that must be named once; place is where it was.
type named struct{ kind, name string }

type place struct {
	src conf.Source
	key string
}

// builder gathers parts and remembers where each thing came from, so that
// faults found across files still name a line.
type builder struct {
	config   *Config
	services map[string]Service
	faults   conf.Faults
	seen     map[named]place
	servers  []serverAt
	expected []expected
	// routes are where the configuration's routes were, in their order.
	routes []place
}

// serverAt and expected are checked once all parts are read.
type serverAt struct {
	server Server
	at     place
}

type expected struct {
	named
	at place
}

func (b *builder) add(r readPart) {
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

func (b *builder) fault(src conf.Source, key, problem, hint string) {
	b.faults = append(b.faults, src.Fault(key, problem, hint))
}

// unique reports a name that was given before.
func (b *builder) unique(src conf.Source, kind, name, key string) {
	id := named{kind, name}
	if first, ok := b.seen[id]; ok {
		b.fault(src, key, fmt.Sprintf("%s %s is given twice", kind, name),
			fmt.Sprintf("first at %s:%d", first.src.File, first.src.Line(first.key)))
		return
	}
	b.seen[id] = place{src, key}
}

func (b *builder) known(kind, name string) bool {
	_, ok := b.seen[named{kind, name}]
	return ok
}

func (b *builder) addDomains(src conf.Source, f filePart) {
	for i, d := range f.Domains {
		b.unique(src, "failure domain", d.Name, fmt.Sprintf("failure-domains[%d].name", i))
		b.config.Inventory.Domains = append(b.config.Inventory.Domains, Domain(d))
	}
}

func (b *builder) addServices(src conf.Source, f filePart) {
	for i, s := range f.Services {
		key := fmt.Sprintf("services[%d]", i)
		b.unique(src, "service", s.Name, key+".name")
		service := Service{
			Name:       s.Name,
			WarmUp:     orDefault(clock.Milli(s.Warm), defaultWarm),
			Deadline:   orDefault(clock.Milli(s.Deadline), defaultDeadline),
			Patience:   orDefault(s.Patience, defaultPatience),
			HealthPath: orDefault(s.Health, defaultHealth),
		}
		for j, l := range s.Layouts {
			if _, twice := service.Layout(l.ID); twice {
				b.fault(src, fmt.Sprintf("%s.layouts[%d].id", key, j), fmt.Sprintf("layout %d is given twice", l.ID), "")
			}
			service.Layouts = append(service.Layouts, Layout(l))
		}
		b.config.Inventory.Services = append(b.config.Inventory.Services, service)
	}
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

func (b *builder) addServers(src conf.Source, f filePart) {
	for i, s := range f.Servers {
		key := fmt.Sprintf("servers[%d]", i)
		b.unique(src, "server", s.Name, key+".name")
		server := Server{Name: s.Name, Service: s.Service, Domain: s.Domain, Address: s.Address}
		for j, l := range s.Leafs {
			leaf := Leaf{Name: l.Name, Slots: l.Slots, Connections: l.Connections}
			b.unique(src, "leaf", l.Name, fmt.Sprintf("%s.leafs[%d].name", key, j))
			for _, h := range l.Holds {
				leaf.Holds = append(leaf.Holds, Hold(h))
			}
			server.Leaves = append(server.Leaves, leaf)
		}
		b.config.Inventory.Servers = append(b.config.Inventory.Servers, server)
		b.servers = append(b.servers, serverAt{server, place{src, key}})
	}
}

func (b *builder) checkServer(src conf.Source, key string, s Server) {
	if !b.known("failure domain", s.Domain) {
		b.fault(src, key+".failure-domain", fmt.Sprintf("failure domain %q is not in the inventory", s.Domain), "")
	}
	service, ok := b.services[s.Service]
	if !ok {
		b.fault(src, key+".service", fmt.Sprintf("service %q is not in the inventory", s.Service), "")
		return
	}
	for j, leaf := range s.Leaves {
		for k, h := range leaf.Holds {
			at := fmt.Sprintf("%s.leafs[%d].holds[%d]", key, j, k)
			layout, ok := service.Layout(h.Layout)
			switch {
			case !ok:
				b.fault(src, at+".layout", fmt.Sprintf("service %s has no layout %d", s.Service, h.Layout), "")
			case h.Shard >= layout.Shards:
				b.fault(src, at+".shard", fmt.Sprintf("shard %d is outside layout %d, which has %d shards", h.Shard, h.Layout, layout.Shards), "shards count from 0")
			}
		}
	}
}

func (b *builder) addRules(src conf.Source, f filePart) {
	rules := &b.config.Rules
	for i, d := range f.Out {
		rules.DomainsOut = append(rules.DomainsOut, d)
		b.expect(src, fmt.Sprintf("out-of-service[%d]", i), "failure domain", d)
	}
	for i, c := range f.Carry {
		rules.ServerLimits = append(rules.ServerLimits, ServerLimit(c))
		key := fmt.Sprintf("carry[%d]", i)
		b.unique(src, "carry rule for", c.Server, key+".server")
		b.expect(src, key+".server", "server", c.Server)
		if c.Slots == 0 && !c.Out {
			b.fault(src, key, "neither slots nor out is given", "slots: 0 would carry nothing; say out: true")
		}
	}
	for i, n := range f.Never {
		rules.NeverRepeat = append(rules.NeverRepeat, NeverRepeat(n))
		b.expect(src, fmt.Sprintf("never-repeat[%d].service", i), "service", n.Service)
	}
}

// expect checks, once all parts are read, that a rule names something known.
func (b *builder) expect(src conf.Source, key, kind, name string) {
	b.expected = append(b.expected, expected{named{kind, name}, place{src, key}})
}

func (b *builder) checkReferences() {
	b.services = make(map[string]Service, len(b.config.Inventory.Services))
	for _, s := range b.config.Inventory.Services {
		b.services[s.Name] = s
	}
	for _, s := range b.servers {
		b.checkServer(s.at.src, s.at.key, s.server)
	}
	for _, e := range b.expected {
		if !b.known(e.kind, e.name) {
			b.fault(e.at.src, e.at.key, fmt.Sprintf("%s %q is not in the inventory", e.kind, e.name), "")
		}
	}
}

// Manifest names the parts of one configuration by their hashes. It is the
// value that operators publish last.
type Manifest struct {
	Version uint64
	Parts   []PartRef
}

// PartRef names one part.
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

// ParseManifest reads a manifest.
func ParseManifest(body []byte) (Manifest, error) {
	var f fileManifest
	if len(body) > MaxPartBytes {
		return Manifest{}, conf.Faults{{File: "manifest", Line: 1, Problem: "over the size limit"}}
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

// Encode returns the manifest as operators publish it.
func (m Manifest) Encode() []byte {
	f := fileManifest{Version: m.Version}
	for _, p := range m.Parts {
		f.Parts = append(f.Parts, fileRef(p))
	}
	body, err := yaml.Marshal(f)
	if err != nil {
		return nil // plain strings and numbers always encode
	}
	return body
}

// NewManifest returns the manifest for a set of parts.
func NewManifest(version uint64, parts []Part) Manifest {
	m := Manifest{Version: version}
	for _, p := range parts {
		m.Parts = append(m.Parts, PartRef{Name: p.Name, Hash: p.Hash()})
	}
	return m
}

// ParseSnapshotID splits a pin written as layout-version.
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

// String writes the pin as layout-version.
func (p SnapshotID) String() string {
	return strconv.FormatUint(uint64(p.Layout), 10) + "-" + strconv.FormatUint(p.Version, 10)
}

package topo

import (
	"github.com/goccy/go-yaml"

	"dandelionstile/share/conf"
)

type fileHost struct {
	Name       string `yaml:"name" validate:"required"`
	Domain     string `yaml:"failure-domain" validate:"required"`
	Entry      string `yaml:"entry" validate:"required,hostname_port"`
	Aggregator string `yaml:"aggregator" validate:"required,hostname_port"`
	Leaving    bool   `yaml:"leaving"`
}

type fileHosts struct {
	Version uint64     `yaml:"version" validate:"required"`
	Hosts   []fileHost `yaml:"hosts" validate:"dive"`
}

// ParseHosts parses a host list of the platform.
func ParseHosts(body []byte) (HostList, error) {
	var f fileHosts
	if _, err := conf.Decode("host-list", body, &f); err != nil {
		return HostList{}, err
	}
	list := HostList{Version: f.Version}
	for _, h := range f.Hosts {
		list.Hosts = append(list.Hosts, Host(h))
	}
	return list, nil
}

// Encode returns the host list in the platform's format.
func (l HostList) Encode() []byte {
	f := fileHosts{Version: l.Version}
	for _, h := range l.Hosts {
		f.Hosts = append(f.Hosts, fileHost(h))
	}
	body, err := yaml.Marshal(f)
	if err != nil {
		return nil // strings and numbers always encode
	}
	return body
}

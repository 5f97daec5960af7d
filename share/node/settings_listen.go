package node

import "net"

// ListenSettings are the addresses that a process listens on.
type ListenSettings struct {
	// Links is where other processes of dandelionstile connect.
	Links string
	// Callers is where callers connect; only an entry has it.
	Callers string
	// Admin serves health, metrics and what `stile` reads. It belongs on an
	// address that only operators and the balancer reach.
	Admin string
}

// IP is the host's own address, the one that links are accepted on.
func (l ListenSettings) IP() string {
	ip, _, err := net.SplitHostPort(l.Links)
	if err != nil {
		return ""
	}
	return ip
}

type fileListen struct {
	Links   string `yaml:"links" validate:"required,hostname_port"`
	Callers string `yaml:"callers" validate:"omitempty,hostname_port"`
	Admin   string `yaml:"admin" validate:"required,hostname_port"`
}

func (f fileListen) settings() ListenSettings { return ListenSettings(f) }

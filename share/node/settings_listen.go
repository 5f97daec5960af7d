package node

import "net"

// ListenSettings are the addresses that a process listens on.
type ListenSettings struct {
	// Links is where other dandelionstile processes connect.
	Links string
	// Callers is where callers connect; only an entry has it.
	Callers string
	// Admin serves health, metrics and the endpoints that `stile` reads. It should
	// be reachable only by operators and the load balancer.
	Admin string
}

// IP returns the host's own address, on which it accepts links, or "" if Links has no
// port.
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

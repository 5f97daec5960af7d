package node

// HostSettings identify the host that the process runs on.
type HostSettings struct {
	// Name is the host's name as in the platform's host list.
	Name string
	// Domain is the host's failure domain.
	Domain string
}

type fileHost struct {
	Name   string `yaml:"name" validate:"required"`
	Domain string `yaml:"failure-domain" validate:"required"`
}

package node

// PlatformSettings hold the address of the platform's configuration service.
type PlatformSettings struct {
	Address string
}

type filePlatform struct {
	Address string `yaml:"address" validate:"required,hostname_port"`
}

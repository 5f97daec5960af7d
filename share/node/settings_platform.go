package node

// PlatformSettings tell where the platform's configuration service is.
type PlatformSettings struct {
	Address string
}

type filePlatform struct {
	Address string `yaml:"address" validate:"required,hostname_port"`
}

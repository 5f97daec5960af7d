package node

import (
	"os"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/conf"
)

// Settings are the contents of a settings file. Entry and aggregator read the same
// format; only an entry uses Listen.Callers and Routes.
type Settings struct {
	Host     HostSettings
	Listen   ListenSettings
	Platform PlatformSettings
	// Peers are the link addresses of aggregators to dial before a host list is
	// known.
	Peers  []string
	Log    LogSettings
	Trace  TraceSettings
	TLS    TLSSettings
	Routes RoutesSettings
}

// fileSettings is the file format of Settings.
type fileSettings struct {
	Host     fileHost     `yaml:"host" validate:"required"`
	Listen   fileListen   `yaml:"listen" validate:"required"`
	Platform filePlatform `yaml:"platform" validate:"required"`
	Peers    []string     `yaml:"peers" validate:"dive,hostname_port"`
	Log      fileLog      `yaml:"log"`
	Trace    fileTrace    `yaml:"trace"`
	TLS      fileTLS      `yaml:"tls"`
	Routes   fileRoutes   `yaml:"routes"`
}

// Load reads and validates a settings file. A file with any fault is rejected as a
// whole.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	var f fileSettings
	src, err := conf.Decode(path, body, &f)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Host: HostSettings(f.Host), Listen: f.Listen.settings(), Platform: PlatformSettings(f.Platform),
		Peers: f.Peers, Log: f.Log.settings(), Trace: TraceSettings(f.Trace), TLS: TLSSettings(f.TLS),
		Routes: f.Routes.settings(),
	}
	return s, append(s.TLS.check(src), s.Routes.check(src)...).Err()
}

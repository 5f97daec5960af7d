package node

// LogSettings configure logging to standard error.
type LogSettings struct {
	// Level is one of debug, info, warn, error.
	Level string
}

// defaultLevel logs state changes, faults, and each request that an entry routes.
const defaultLevel = "info"

type fileLog struct {
	Level string `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

func (f fileLog) settings() LogSettings {
	if f.Level == "" {
		f.Level = defaultLevel
	}
	return LogSettings(f)
}

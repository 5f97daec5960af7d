package node

// LogSettings choose what is logged, to standard error.
type LogSettings struct {
	// Level is one of debug, info, warn, error.
	Level string
}

// defaultLevel logs changes of state and faults, and no single requests.
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

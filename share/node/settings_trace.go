package node

// TraceSettings configure which traces are written, and where.
type TraceSettings struct {
	// File receives the spans; empty disables tracing.
	File string
	// Ratio is the share of new traces that are recorded, from 0 to 1.
	Ratio float64
}

type fileTrace struct {
	File  string  `yaml:"file"`
	Ratio float64 `yaml:"ratio" validate:"gte=0,lte=1"`
}

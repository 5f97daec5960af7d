package node

import "dandelionstile/share/conf"

// RoutesSettings configure where an entry serves the routes of the inventory. An
// empty Listen disables them.
type RoutesSettings struct {
	// Listen is where callers of routes connect.
	Listen string
	// Gossip and Relay are where other entries reach this one for routes, by
	// UDP and by TCP; both are empty for an entry that works alone.
	Gossip, Relay string
	// Seeds are gossip addresses of entries to join through.
	Seeds []string
	// SecondCalls bounds retries and hedges of routed requests.
	SecondCalls SecondCallSettings
}

// SecondCallSettings bound the calls beyond the first of each request. The bounds
// apply to all hosts together; zero means the default.
type SecondCallSettings struct {
	// Ratio is how many second calls are allowed for each request to a service.
	Ratio float64
	// Reserve is how many second calls to a service are allowed in addition within
	// a short time.
	Reserve float64
}

type fileRoutes struct {
	Listen      string          `yaml:"listen" validate:"omitempty,hostname_port"`
	Gossip      string          `yaml:"gossip" validate:"omitempty,hostname_port"`
	Relay       string          `yaml:"relay" validate:"omitempty,hostname_port"`
	Seeds       []string        `yaml:"seeds" validate:"dive,hostname_port"`
	SecondCalls fileSecondCalls `yaml:"second-calls"`
}

type fileSecondCalls struct {
	Ratio   float64 `yaml:"ratio" validate:"gte=0,lte=10"`
	Reserve float64 `yaml:"reserve" validate:"gte=0,lte=100000"`
}

func (f fileRoutes) settings() RoutesSettings {
	return RoutesSettings{
		Listen: f.Listen, Gossip: f.Gossip, Relay: f.Relay, Seeds: f.Seeds,
		SecondCalls: SecondCallSettings(f.SecondCalls),
	}
}

func (r RoutesSettings) check(src conf.Source) conf.Faults {
	var faults conf.Faults
	if (r.Gossip == "") != (r.Relay == "") {
		faults = append(faults, src.Fault("routes", "gossip and relay must be set together", "set both or neither"))
	}
	if r.Gossip == "" && len(r.Seeds) > 0 {
		faults = append(faults, src.Fault("routes.seeds", "seeds have no effect without gossip", "set gossip and relay"))
	}
	if r.Listen == "" && r.Gossip != "" {
		faults = append(faults, src.Fault("routes", "gossip has no effect without listen", "set listen"))
	}
	return faults
}

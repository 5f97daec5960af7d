package leaf

import (
	"encoding/json"
	"net/http"

	"dandelionstile/share/topo"
)

// Control handles control requests for a set of servers.
type Control struct {
	Servers map[string]*Server
}

// Command is the body of a control request. It applies to the named server, or to
// all if none is named. Which of the other fields count depends on the action;
// Factor is also the share of connections to silence.
type Command struct {
	Server    string   `json:"server"`
	Leaf      string   `json:"leaf"`
	Action    string   `json:"action"`
	Factor    float64  `json:"factor"`
	Fault     Fault    `json:"fault"`
	Snapshots []string `json:"snapshots"`
	On        bool     `json:"on"`
}

// Handler serves POST /control and GET /stats.
func (c Control) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", c.handleCommand)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		all := make([]Stats, 0, len(c.Servers))
		for _, s := range c.Servers {
			all = append(all, s.Stats())
		}
		_ = json.NewEncoder(w).Encode(all) // a client that disconnected needs no reply
	})
	return mux
}

// handleCommand applies a command to each server that it is for. It replies 400 to a
// body or an action that is invalid. A command for an unknown server has no effect and
// gets 200.
func (c Control) handleCommand(w http.ResponseWriter, r *http.Request) {
	var cmd Command
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for name, s := range c.Servers {
		if cmd.Server != "" && cmd.Server != name {
			continue
		}
		if !applyCommand(s, cmd) {
			http.Error(w, "no such action", http.StatusBadRequest)
			return
		}
	}
}

// applyCommand applies a command to a server, and reports whether there is such an
// action. It ignores snapshots that it can't parse.
func applyCommand(s *Server, cmd Command) bool {
	switch cmd.Action {
	case "crash":
		s.Crash()
	case "chill":
		s.MakeCold()
	case "drain":
		s.Drain(cmd.On)
	case "silence":
		s.Silence(cmd.Factor)
	case "straggle":
		s.SetSlowdown(cmd.Leaf, cmd.Factor)
	case "fault":
		s.SetFault(cmd.Leaf, cmd.Fault)
	case "snapshots":
		var ids []topo.SnapshotID
		for _, text := range cmd.Snapshots {
			if id, ok := topo.ParseSnapshotID(text); ok {
				ids = append(ids, id)
			}
		}
		s.SetSnapshots(ids...)
	default:
		return false
	}
	return true
}

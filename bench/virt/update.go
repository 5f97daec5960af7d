package virt

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/dedup"
	"dandelionstile/share/fanout"
)

// Mint gets an id for an update from a host.
func (w *World) Mint(h *Host) (dedup.ID, bool) {
	if h.down || h.paused {
		return dedup.ID{}, false
	}
	ids, err := h.Fan.Mint(w.Now(), 1)
	if err != nil {
		return dedup.ID{}, false
	}
	return ids[0], true
}

// Update sends an update to a host. Done is called when, and if, it is
// answered.
func (w *World) Update(h *Host, id dedup.ID, service, body string, budget clock.Milli, done func(fanout.UpdateResult)) {
	w.nextID++
	number := w.nextID
	w.Stats.onUpdate[number] = done
	w.Clock.After(w.Deployment.Caller, func() {
		h.do(func() {
			h.actFan(h.Fan.StartUpdate(w.Now(), fanout.Update{
				RequestID: number, ID: id, Service: service, Operation: "status-update", Key: "key-" + id.String(),
				Body: body, Deadline: w.Now() + budget,
			}))
		})
	})
}

func (w *World) updated(_ *Host, a fanout.UpdateAnswered) {
	s := &w.Stats
	if pass, ok := s.remote[a.RequestID]; ok {
		delete(s.remote, a.RequestID)
		pass(a.Result)
		return
	}
	s.Updates[a.Result.Kind]++
	if done := s.onUpdate[a.RequestID]; done != nil {
		delete(s.onUpdate, a.RequestID)
		w.Clock.After(w.Deployment.Caller, func() { done(a.Result) })
	}
}

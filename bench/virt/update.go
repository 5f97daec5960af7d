package virt

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/dedup"
	"dandelionstile/share/fanout"
)

// Mint mints an update ID at a host. It reports false if the host is down or paused,
// or cannot mint one.
func (w *World) Mint(h *Host) (dedup.ID, bool) {
	if h.down || h.paused {
		return dedup.ID{}, false
	}
	ids, err := h.Fanout.Mint(w.Now(), 1)
	if err != nil {
		return dedup.ID{}, false
	}
	return ids[0], true
}

// SendUpdate sends an update to a host. It calls done when, and if, the answer
// arrives.
func (w *World) SendUpdate(h *Host, id dedup.ID, service, body string, budget clock.Milli, done func(fanout.UpdateResult)) {
	w.nextID++
	requestID := w.nextID
	w.Stats.onUpdate[requestID] = done
	w.Clock.After(w.Deployment.CallerLatency, func() {
		h.do(func() {
			h.applyFanout(h.Fanout.StartUpdate(w.Now(), fanout.Update{
				RequestID: requestID, ID: id, Service: service, Operation: "status-update", Key: "key-" + id.String(),
				Body: body, Deadline: w.Now() + budget,
			}))
		})
	})
}

// handleUpdateResult handles the result of an update: it goes to the host that forwarded the
// update, if any, or else is counted and goes to the caller.
func (w *World) handleUpdateResult(_ *Host, a fanout.UpdateAnswered) {
	s := &w.Stats
	if respond, ok := s.onForwarded[a.RequestID]; ok {
		delete(s.onForwarded, a.RequestID)
		respond(a.Result)
		return
	}
	s.Updates[a.Result.Kind]++
	if done := s.onUpdate[a.RequestID]; done != nil {
		delete(s.onUpdate, a.RequestID)
		w.Clock.After(w.Deployment.CallerLatency, func() { done(a.Result) })
	}
}

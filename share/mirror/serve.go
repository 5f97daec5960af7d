package mirror

import (
	"net/http"
	"strconv"
	"time"

	"dandelionstile/share/clock"
)

// IsRead tells whether a request is a read of the mirror.
func IsRead(r *http.Request) bool { return r.Header.Get(headerAfter) != "" }

// Serve answers another host: at once if there is something new, else when
// there is or its wait is over.
func (m *Mirror) Serve(c clock.Clock, stop <-chan struct{}, w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.Header.Get(headerAfter), 10, 64)
	if err != nil {
		http.Error(w, "no proper "+headerAfter, http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(r.Header.Get(headerWait), 10, 64)
	if err != nil || wait < 0 {
		http.Error(w, "no proper "+headerWait, http.StatusBadRequest)
		return
	}
	page, changed, ok := m.Since(c.Now(), after)
	if !ok || (!page.Whole && len(page.Items) == 0) {
		timer := time.NewTimer(min(clock.Milli(wait), peerWait).Duration())
		defer timer.Stop()
		select {
		case <-changed:
		case <-stop:
		case <-timer.C:
		}
		page, _, ok = m.Since(c.Now(), after)
	}
	if !ok {
		http.Error(w, "nothing is known here", http.StatusServiceUnavailable)
		return
	}
	body, err := m.packed(after, page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()[headerAge] = []string{strconv.FormatInt(int64(max(0, page.Age)), 10)}
	w.Header().Set("Content-Type", "application/x-protobuf")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a host that is gone is no fault of ours
}

// packed is a page as it is sent. The last one is kept: hosts that follow ask
// for the same at the same time.
func (m *Mirror) packed(after int64, p Page) ([]byte, error) {
	m.packing.Lock()
	defer m.packing.Unlock()
	if m.kept.body != nil && m.kept.after == after && m.kept.revision == p.Revision && m.kept.whole == p.Whole {
		return m.kept.body, nil
	}
	body, err := encode(p)
	if err != nil {
		return nil, err
	}
	if len(p.Items) > 0 {
		m.kept = keptPage{after: after, revision: p.Revision, whole: p.Whole, body: body}
	}
	return body, nil
}

// keptPage is a page that was sent, by what it answered.
type keptPage struct {
	after, revision int64
	whole           bool
	body            []byte
}

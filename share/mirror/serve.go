package mirror

import (
	"net/http"
	"strconv"
	"time"

	"dandelionstile/share/clock"
)

// IsRead reports whether a request is a read of the mirror.
func IsRead(r *http.Request) bool { return r.Header.Get(headerAfter) != "" }

// Serve replies to another host's read: immediately if there are changes, otherwise at
// the next change, when the requested wait or maxPeerWait is over, or when stop is closed.
// It replies with 503 if there is no page by then.
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
		timer := time.NewTimer(min(clock.Milli(wait), maxPeerWait).Duration())
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
	body, err := m.encodeCached(after, page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()[headerAge] = []string{strconv.FormatInt(int64(max(0, page.Age)), 10)}
	w.Header().Set("Content-Type", "application/x-protobuf")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the peer may have closed the connection
}

// encodeCached returns an encoded page. It caches the last one with items, since other
// hosts request the same page at the same time.
func (m *Mirror) encodeCached(after int64, p Page) ([]byte, error) {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	if m.cached.body != nil && m.cached.after == after && m.cached.revision == p.Revision && m.cached.whole == p.Whole {
		return m.cached.body, nil
	}
	body, err := encode(p)
	if err != nil {
		return nil, err
	}
	if len(p.Items) > 0 {
		m.cached = cachedPage{after: after, revision: p.Revision, whole: p.Whole, body: body}
	}
	return body, nil
}

// cachedPage is an encoded page with the request it answers.
type cachedPage struct {
	after, revision int64
	whole           bool
	body            []byte
}

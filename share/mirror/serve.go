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
// the next change, when the copy becomes too old for the reader or fresh again, when the
// requested wait or maxPeerWait is over, or when stop is closed. It replies with 503 if there
// is no page by then.
func (m *Mirror) Serve(c clock.Clock, stop <-chan struct{}, w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.Header.Get(headerAfter), 10, 64)
	if err != nil {
		http.Error(w, "no proper "+headerAfter, http.StatusBadRequest)
		return
	}
	wait, err := parseMillis(r.Header, headerWait)
	if err != nil || wait < 0 {
		http.Error(w, "no proper "+headerWait, http.StatusBadRequest)
		return
	}
	maxAge := clock.MaxSpan
	if r.Header.Get(headerMaxAge) != "" { // readers of former versions send none
		if maxAge, err = parseMillis(r.Header, headerMaxAge); err != nil {
			http.Error(w, "no proper "+headerMaxAge, http.StatusBadRequest)
			return
		}
	}
	page, ok := m.await(c, stop, after, min(wait, maxPeerWait), maxAge)
	if !ok {
		http.Error(w, "nothing is known here", http.StatusServiceUnavailable)
		return
	}
	body, err := m.encodeCached(after, page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	setMillis(w.Header(), headerAge, max(0, page.Age))
	setMillis(w.Header(), headerSteady, max(0, page.Steady))
	if page.Regained > 0 {
		setMillis(w.Header(), headerRegained, page.Regained)
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the peer may have closed the connection
}

// await returns the changes after a revision. Without any, it waits for them until the wait is
// over or stop is closed, and returns as soon as the copy is too old, so that the reader turns to
// another source. A reader that waits for refreshWait at most does that already: for it, await
// returns as soon as the copy is fresh for a while. It may be about to become so, since this host
// has often lost the same source at the same time.
func (m *Mirror) await(c clock.Clock, stop <-chan struct{}, after int64, wait, maxAge clock.Milli) (Page, bool) {
	end := c.Now() + wait
	searching := wait <= refreshWait
	page, updated, ok := m.Since(c.Now(), after)
	for !page.hasChanges() {
		left := end - c.Now()
		if ok && searching && page.Age <= maxAge-refreshWait {
			break
		}
		if ok && !searching {
			left = min(left, maxAge+1-page.Age)
		}
		if left <= 0 {
			break
		}
		timer := time.NewTimer(left.Duration())
		select {
		case <-updated:
		case <-timer.C:
		case <-stop:
			end = c.Now()
		}
		timer.Stop()
		page, updated, ok = m.Since(c.Now(), after)
	}
	return page, ok
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

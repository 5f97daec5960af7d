package leaf

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"time"

	"dandelionstile/share/httpc"
)

// recordBytes is the size of a record of a merged answer.
const recordBytes = 16

// opaqueRecords is how many records an opaque reply holds.
const opaqueRecords = 4

// Records are what a server answers to an opaque request with this target.
func Records(server, target string) []byte {
	var body []byte
	for i := range opaqueRecords {
		record := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", server, target, i))
		body = append(body, record[:recordBytes]...)
	}
	return body
}

// opaque answers a routed request in the project's own dialect.
func (s *Server) opaque(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(httpc.DefaultDialect.RequestID)
	w.Header().Set(httpc.DefaultDialect.RequestID, id)
	if want := r.Header.Get(httpc.DefaultDialect.ExpectLeaf); want != "" && want != s.spec.Name {
		w.Header().Set(httpc.DefaultDialect.NotRun, "another leaf is meant")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the caller has broken off
	}
	time.Sleep(s.model.Service)
	w.Header().Set(httpc.DefaultDialect.Stamp, s.spec.Name+"."+id)
	_, _ = w.Write(Records(s.spec.Name, r.URL.Path)) // the caller may be gone
}

// health tells that the server is well.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(httpc.DefaultDialect.LeafID, s.spec.Name)
	w.WriteHeader(http.StatusOK)
}

package leaf

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"time"

	"dandelionstile/share/httpc"
)

// recordBytes is the size of a record in a merged answer.
const recordBytes = 16

// opaqueRecords is the number of records in an opaque reply.
const opaqueRecords = 4

// Records returns the body of a server's reply to an opaque request for a path.
func Records(server, target string) []byte {
	var body []byte
	for i := range opaqueRecords {
		record := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", server, target, i))
		body = append(body, record[:recordBytes]...)
	}
	return body
}

// handleOpaque answers a routed request in the product's default dialect. It replies
// that the request did not run if another leaf was expected. The request takes no slot.
func (s *Server) handleOpaque(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(httpc.DefaultDialect.RequestID)
	w.Header().Set(httpc.DefaultDialect.RequestID, id)
	if expected := r.Header.Get(httpc.DefaultDialect.ExpectLeaf); expected != "" && expected != s.spec.Name {
		w.Header().Set(httpc.DefaultDialect.NotRun, "another leaf is meant")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the client disconnected
	}
	time.Sleep(s.model.ServiceTime)
	w.Header().Set(httpc.DefaultDialect.Stamp, s.spec.Name+"."+id)
	_, _ = w.Write(Records(s.spec.Name, r.URL.Path)) // the client may have disconnected
}

// handleHealth answers a health check of a routed service: the server is healthy.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(httpc.DefaultDialect.LeafID, s.spec.Name)
	w.WriteHeader(http.StatusOK)
}

package syntax

import (
	"io"
	"net/http"
)

// Reader reads the replies of a connection and fails where they break the grammar.
type Reader struct {
	Checker

	From io.Reader
	// Method returns the method of the request to which the current reply belongs; nil stands
	// for GET.
	Method func() string
}

// Read implements io.Reader. It returns what precedes a line that breaks the grammar.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.From.Read(p)
	method := http.MethodGet
	if r.Method != nil {
		method = r.Method()
	}
	n, checkErr := r.Check(p[:n], method)
	if checkErr != nil {
		return n, checkErr
	}
	return n, err
}

// Err returns the error of a line that broke the grammar, or nil.
func (r *Reader) Err() error { return r.err }

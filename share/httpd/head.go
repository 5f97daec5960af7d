package httpd

import "github.com/lesismal/nbio/nbhttp"

// headMeter counts the bytes of the request head that a parser has not read to its end. All
// its methods are called by the event loop.
type headMeter struct {
	nbhttp.Processor
	bytes  int
	inBody bool
	// begun is set from the method of a request to its end.
	begun bool
}

// OnMethod is called after the first word of a request.
func (h *headMeter) OnMethod(p *nbhttp.Parser, method string) {
	h.begun = true
	h.Processor.OnMethod(p, method)
}

// add adds n bytes that are going to be parsed, and returns the size of the incomplete head.
// It includes up to one read of the body.
func (h *headMeter) add(n int) int {
	if h.inBody {
		return 0
	}
	h.bytes += n
	return h.bytes
}

// OnContentLength is called at the end of a head.
func (h *headMeter) OnContentLength(p *nbhttp.Parser, length int) {
	h.bytes, h.inBody = 0, true
	h.Processor.OnContentLength(p, length)
}

// OnComplete is called at the end of a request.
func (h *headMeter) OnComplete(p *nbhttp.Parser) {
	h.bytes, h.inBody, h.begun = 0, false, false
	h.Processor.OnComplete(p)
}

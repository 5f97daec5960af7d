package front

import "net"

// hostOf is the address without its port: a caller's connections come from
// many ports.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

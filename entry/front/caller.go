package front

import "net"

// hostOf returns the address without its port: the connections of one caller come
// from many ports.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

package junk

import "fmt"

// Broken returns replies that break the grammar of RFC 9110 and RFC 9112, keyed by what is wrong
// with them. Each is followed by the end of its connection. The headers, each with its CRLF, go
// into every head but those of interim replies.
func Broken(headers string) map[string]string {
	const ok, length, chunked = "HTTP/1.1 200 OK\r\n", "Content-Length: 16\r\n", "Transfer-Encoding: chunked\r\n"
	const chunks = "10\r\n" + CutBody + "\r\n0\r\n"
	broken := map[string]string{}
	for field, name := range brokenFields() {
		broken[name] = ok + headers + field + "\r\n" + length + "\r\n" + CutBody
		broken[name+", first"] = ok + field + "\r\n" + headers + length + "\r\n" + CutBody
		broken[name+", interim"] = "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + ok + headers + length + "\r\n" + CutBody
		broken[name+", trailer"] = ok + headers + chunked + "Trailer: A, Field\r\n\r\n" + chunks + "A: b\r\n" + field + "\r\n\r\n"
	}
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2e2 OK", "HTTP/1.1 2 0 OK", "HTTP/1.1  OK", "HTTP/1.1",
		"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK", "", "200 OK",
	} {
		broken[fmt.Sprintf("status line %q", line)] = line + "\r\n" + headers + length + "\r\n" + CutBody
	}
	for _, fields := range []string{
		"Content-Length: +16", "Content-Length: -16", "Content-Length: 1 6", "Content-Length: 0x10", "Content-Length: 16;", "Content-Length:",
		"Content-Length: 99999999999999999999", "Content-Length: 16\r\nContent-Length: 8", "Content-Length: 16, 8",
		"Content-Length : 16", "Content-Length: 16\r\nContent-Length : 8",
	} {
		broken[fmt.Sprintf("length %q", fields)] = ok + headers + fields + "\r\nConnection: close\r\n\r\n" + CutBody
	}
	for _, fields := range []string{
		"Transfer-Encoding : chunked", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: identity",
		"Transfer-Encoding:", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: \x0bchunked",
		"Transfer-Encoding: chunked\r\nContent-Length: 16", "Content-Length: 27\r\nTransfer-Encoding: chunked",
	} {
		broken[fmt.Sprintf("encoding %q", fields)] = ok + headers + fields + "\r\nConnection: close\r\n\r\n" + chunks + "\r\n"
	}
	broken["chunks in HTTP/1.0"] = "HTTP/1.0 200 OK\r\n" + headers + chunked + "\r\n" + chunks + "\r\n"
	for _, text := range []string{
		"+10\r\n", "-10\r\n", "0x10\r\n", " 10\r\n", "1 0\r\n", "\r\n", ";e\r\n", "g\r\n", "10;\x00\r\n", "10 e\r\n", "10\n", "10\r\r\n", "10000000000000010\r\n",
	} {
		broken[fmt.Sprintf("chunk %q", text)] = ok + headers + chunked + "\r\n" + text + CutBody + "\r\n0\r\n\r\n"
	}
	for _, text := range []string{"10\r\n" + CutBody + "0\r\n\r\n", "10\r\n" + CutBody + "\n0\r\n\r\n", "f\r\n" + CutBody + "\r\n0\r\n\r\n"} {
		broken[fmt.Sprintf("end of chunk %q", text)] = ok + headers + chunked + "\r\n" + text
	}
	return broken
}

// brokenFields returns field lines that break the grammar, with a name each.
func brokenFields() map[string]string {
	fields := map[string]string{
		"Field":           "no colon",
		": value":         "no name",
		" Field: value":   "fold with a blank",
		"\tField: value":  "fold with a tab",
		"Field: v\rw":     "CR in a value",
		"Field: v\r\r\nA": "two CR after a value",
	}
	for _, b := range []byte(" \x00\x01\x02\x07\x08\t\n\v\f\r\x0e\x1b\x1f\x7f\"(),/;<=>?@[\\]{}\x80\xc3\xff") {
		fields["Fie"+string([]byte{b})+"ld: value"] = fmt.Sprintf("%#02x in a name", b)
		fields["Field"+string([]byte{b})+": value"] = fmt.Sprintf("%#02x before the colon", b)
	}
	for _, b := range []byte("\x00\x01\x02\x07\x08\v\f\x0e\x1b\x1f\x7f") {
		fields["Field: val"+string([]byte{b})+"ue"] = fmt.Sprintf("%#02x in a value", b)
	}
	return fields
}

// Unusual returns complete replies with the body CutBody that keep to the grammar but look
// different from most, keyed by what is unusual.
func Unusual(headers string) map[string]string {
	const ok, length, chunked = "HTTP/1.1 200 OK\r\n", "Content-Length: 16\r\n", "Transfer-Encoding: chunked\r\n"
	end := headers + length + "\r\n" + CutBody
	return map[string]string{
		"symbols in a name":      ok + "!#$%&'*+-.^_`|~1: value\r\n" + end,
		"blanks around a value":  ok + "Field: \t value \t \r\n" + end,
		"no blank after a colon": ok + "Field:value\r\n" + end,
		"empty value":            ok + "Field:\r\nOther: \r\n" + end,
		"colons in a value":      ok + "Field: :v:w:\r\n" + end,
		"text that isn't ASCII":  ok + "Field: f\xc3\xbcr\xff\r\n" + end,
		"tab in a value":         ok + "Field: a\tb\r\n" + end,
		"reason with a tab":      "HTTP/1.1 200 O\tK\xff\r\n" + end,
		"long reason":            "HTTP/1.1 200 All is well: 1\r\n" + end,
		"status 299":             "HTTP/1.1 299 Own\r\n" + end,
		"status 520":             "HTTP/1.1 520 Own\r\n" + end,
		"length twice":           ok + length + end,
		"length with zeros":      ok + headers + "content-length: 016\r\n\r\n" + CutBody,
		"encoding in capitals":   ok + headers + "TRANSFER-ENCODING: Chunked\r\n\r\n10\r\n" + CutBody + "\r\n0\r\n\r\n",
		"extension of a chunk":   ok + headers + chunked + "\r\n10;e=\"a;b\";f\r\n" + CutBody + "\r\n000;g\r\n\r\n",
		"capital hexadecimals":   ok + headers + chunked + "\r\nA\r\n" + CutBody[:10] + "\r\n0006\r\n" + CutBody[10:] + "\r\n0\r\n\r\n",
	}
}

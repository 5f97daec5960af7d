package cmds

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrNoLines reports that the logs hold no line about the request.
var ErrNoLines = errors.New("no line names the request")

// logLine is one line of the programs' logs with the fields that are matched. The field
// named fields holds all of them for printing.
type logLine struct {
	Time    int64  `json:"time"`
	Host    string `json:"host"`
	Message string `json:"message"`
	Request string `json:"request"`
	Leaf    string `json:"leaf"`
	Service string `json:"service"`

	fields map[string]any
}

// stateLookbackMillis is how long before a request changes of state are shown. Leaves
// are retried within about this time, so that older changes did not affect the request.
const stateLookbackMillis = 8000

// maxLogLineBytes is the length of the longest line that can be read. A longer one is an
// error.
const maxLogLineBytes = 1 << 20

// readLogs reads the log lines of all files; "-" is standard input. Text before the
// first brace of a line, such as a log collector's timestamp, is skipped.
func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		err := forEachLine(name, func(text string) {
			if l, ok := parseLogLine(text); ok {
				lines = append(lines, l)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	return lines, nil
}

// forEachLine calls handle with each line of a file; "-" is standard input.
func forEachLine(name string, handle func(string)) error {
	in := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer func() { _ = f.Close() }() // the file was only read
		in = f
	}
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		handle(s.Text())
	}
	return errors.Wrapf(s.Err(), "read %s", name)
}

// parseLogLine decodes a line. It reports false if the line holds no JSON object with a
// message.
func parseLogLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var l logLine
	body := []byte(text[start:])
	if json.Unmarshal(body, &l) != nil || json.Unmarshal(body, &l.fields) != nil {
		return logLine{}, false // not a line of these programs
	}
	return l, l.Message != ""
}

// text returns a string field; empty if there is none.
func (l logLine) text(name string) string {
	value, _ := l.fields[name].(string)
	return value
}

// number returns a numeric field; 0 if there is none.
func (l logLine) number(name string) float64 {
	value, _ := l.fields[name].(float64)
	return value
}

// boolean reports whether a field is set to true.
func (l logLine) boolean(name string) bool {
	value, _ := l.fields[name].(bool)
	return value
}

// list returns the strings of a list field.
func (l logLine) list(name string) []string {
	values, _ := l.fields[name].([]any)
	var texts []string
	for _, v := range values {
		if text, ok := v.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// relatedLines returns the lines that name a request. It adds the state changes that the
// hosts which handled it logged just before and during it, if they concern a leaf that the
// request used or no leaf at all.
func relatedLines(lines []logLine, id string) []logLine {
	var requestLines []logLine
	leaves := map[string]bool{}
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.Request != id {
			continue
		}
		requestLines = append(requestLines, l)
		hosts[l.Host] = true
		for _, name := range mentionedNames(l) {
			leaves[name] = true
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	from, to := requestLines[0].Time-stateLookbackMillis, requestLines[len(requestLines)-1].Time
	var related []logLine
	for _, l := range lines {
		switch {
		case l.Request == id:
			related = append(related, l)
		case l.Request != "" || l.Time < from || l.Time > to || !hosts[l.Host]:
			// Of another request, too early or late, or of a host that did not handle
			// this request.
		case l.Leaf == "" || leaves[l.Leaf]:
			related = append(related, l)
		}
	}
	return related
}

// mentionedNames returns the line's leaf and the leaves or hosts of the shards that it
// lists as missing.
func mentionedNames(l logLine) []string {
	names := []string{l.Leaf}
	for _, text := range l.list("missing") { // each has a shard, a leaf or host, and a cause
		if words := strings.Fields(text); len(words) > 1 {
			names = append(names, words[1])
		}
	}
	return names
}

// printTimeline prints lines with their times relative to the request's first line. It
// returns ErrNoLines if there are none.
func printTimeline(out *printer, lines []logLine, id string) error {
	if len(lines) == 0 {
		return errors.Wrapf(ErrNoLines, "%s; was it sent here, and do the logs reach back to it?", id)
	}
	start := lines[0].Time
	for _, l := range lines {
		if l.Request == id {
			start = l.Time
			break
		}
	}
	fields := make([]map[string]any, 0, len(lines))
	for _, l := range lines {
		color := green
		if l.fields["level"] == "warn" {
			color = yellow
		}
		if l.Message == "refused" || l.fields["level"] == "error" {
			color = red
		}
		out.printText("%+7d ms  %-24s %s  %s", l.Time-start, l.Host, out.colorize(color, l.Message), formatDetails(l))
		fields = append(fields, l.fields)
	}
	return out.printJSON(fields)
}

// formatDetails formats the other fields of a line, sorted by name.
func formatDetails(l logLine) string {
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "host", "message", "level", "program", "request":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		text, err := json.Marshal(l.fields[name])
		if err != nil {
			continue // cannot fail: the value was decoded from JSON
		}
		b.WriteString(name + "=" + string(text) + " ")
	}
	return strings.TrimSpace(b.String())
}

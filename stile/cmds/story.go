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

// ErrNoLines means that the logs say nothing about the request.
var ErrNoLines = errors.New("no line names the request")

// logLine is a line of the programs' logs, with the fields that a story needs.
// All holds every field for printing.
type logLine struct {
	Time    int64  `json:"time"`
	Host    string `json:"host"`
	Message string `json:"message"`
	Request string `json:"request"`
	Leaf    string `json:"leaf"`
	Service string `json:"service"`

	all map[string]any
}

// beliefSpan is how long before a request's end changed beliefs are shown, in
// ms: leafs are tried again within about this time, so older ones have no part
// in the decision.
const beliefSpan = 8000

// maxLogLine is the longest line read, in bytes.
const maxLogLine = 1 << 20

// readLogs reads the lines of all files that are log lines; "-" is standard
// input. What stands before a line's first brace, such as a collector's own
// stamp, is skipped.
func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		err := eachLine(name, func(text string) {
			if l, ok := parseLog(text); ok {
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

func eachLine(name string, take func(string)) error {
	in := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer func() { _ = f.Close() }() // it was only read
		in = f
	}
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		take(s.Text())
	}
	return errors.Wrapf(s.Err(), "read %s", name)
}

func parseLog(text string) (logLine, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return logLine{}, false
	}
	var l logLine
	body := []byte(text[at:])
	if json.Unmarshal(body, &l) != nil || json.Unmarshal(body, &l.all) != nil {
		return logLine{}, false // another program's line
	}
	return l, l.Message != ""
}

// text is a field that holds text; empty if there is none.
func (l logLine) text(name string) string {
	value, _ := l.all[name].(string)
	return value
}

// number is a field that holds a number; 0 if there is none.
func (l logLine) number(name string) float64 {
	value, _ := l.all[name].(float64)
	return value
}

// truth tells whether a field is set to true.
func (l logLine) truth(name string) bool {
	value, _ := l.all[name].(bool)
	return value
}

// list is a field that holds a list of texts.
func (l logLine) list(name string) []string {
	values, _ := l.all[name].([]any)
	var texts []string
	for _, v := range values {
		if text, ok := v.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// story picks the lines that tell of a request: those that name it, and what
// changed just before in the beliefs about leafs and hosts that it met.
func story(lines []logLine, id string) []logLine {
	var own []logLine
	met := map[string]bool{}
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.Request != id {
			continue
		}
		own = append(own, l)
		hosts[l.Host] = true
		for _, name := range mentioned(l) {
			met[name] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	from, to := own[0].Time-beliefSpan, own[len(own)-1].Time
	var told []logLine
	for _, l := range lines {
		switch {
		case l.Request == id:
			told = append(told, l)
		case l.Request != "" || l.Time < from || l.Time > to || !hosts[l.Host]:
		case l.Leaf == "" || met[l.Leaf]:
			told = append(told, l)
		}
	}
	return told
}

// mentioned are the leafs and hosts that a line names.
func mentioned(l logLine) []string {
	names := []string{l.Leaf}
	for _, text := range l.list("missing") {
		if words := strings.Fields(text); len(words) > 1 {
			names = append(names, words[1])
		}
	}
	return names
}

// printStory prints lines with times counted from the request's first line.
func printStory(out *printer, lines []logLine, id string) error {
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
	shown := make([]map[string]any, 0, len(lines))
	for _, l := range lines {
		color := green
		if l.all["level"] == "warn" {
			color = yellow
		}
		if l.Message == "refused" || l.all["level"] == "error" {
			color = red
		}
		out.line("%+7d ms  %-24s %s  %s", l.Time-start, l.Host, out.paint(color, l.Message), details(l))
		shown = append(shown, l.all)
	}
	return out.value(shown)
}

// details are a line's other fields, by name.
func details(l logLine) string {
	var names []string
	for name := range l.all {
		switch name {
		case "time", "host", "message", "level", "program", "request":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		text, err := json.Marshal(l.all[name])
		if err != nil {
			continue // it was read from JSON and cannot fail
		}
		b.WriteString(name + "=" + string(text) + " ")
	}
	return strings.TrimSpace(b.String())
}

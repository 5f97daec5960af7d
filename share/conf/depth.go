package conf

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// maxDepth bounds how deep a file nests. The parser takes memory by the square of the depth: 2 GB for
// 30,000 levels, which need as many bytes.
const maxDepth = 100

// checkDepth returns a fault if a file nests deeper than maxDepth.
func checkDepth(file string, body []byte) error {
	var d depth
	for _, t := range lexer.Tokenize(string(body)) {
		if d.add(t); d.flow+len(d.columns) > maxDepth {
			return Faults{{File: file, Line: t.Position.Line, Problem: fmt.Sprintf("nested deeper than %d levels", maxDepth)}}
		}
	}
	return nil
}

// depth is how deep a token nests.
type depth struct {
	// flow is the number of open brackets and braces.
	flow int
	// columns are those of the open lists and mappings without brackets.
	columns []int
	// line is that of the last token, and opens is set after one that another may nest in.
	line  int
	opens bool
}

// add continues with the next token.
func (d *depth) add(t *token.Token) {
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		d.flow++
	case token.SequenceEndType, token.MappingEndType:
		d.flow = max(0, d.flow-1)
	default:
	}
	if d.flow == 0 && (t.Position.Line != d.line || d.opens) {
		for len(d.columns) > 0 && d.columns[len(d.columns)-1] >= t.Position.Column {
			d.columns = d.columns[:len(d.columns)-1]
		}
		d.columns = append(d.columns, t.Position.Column)
	}
	d.line = t.Position.Line
	d.opens = t.Type == token.SequenceEntryType || t.Type == token.MappingKeyType
}

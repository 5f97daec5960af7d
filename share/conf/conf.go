// Package conf reads YAML files strictly: every fault is reported with its
// file, line and key, and a file with a fault is taken not at all.
package conf

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// ErrInvalid marks every error about the contents of a file.
var ErrInvalid = errors.New("invalid file")

// Fault is one thing wrong in a file.
type Fault struct {
	File string
	// Line counts from 1; 0 means the file as a whole.
	Line int
	// Key is the path of the faulty key, such as servers[3].slots.
	Key     string
	Problem string
	// Hint says what to do about it; it may be empty.
	Hint string
}

// String returns the fault in the form file:line: key: problem (hint).
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Problem)
	if f.Hint != "" {
		b.WriteString(" (" + f.Hint + ")")
	}
	return b.String()
}

// Faults is a list of faults as an error; errors.Is(err, ErrInvalid) holds.
type Faults []Fault //nolint:errname // the plural says that it is a list

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes a list of faults match ErrInvalid.
func (f Faults) Is(target error) bool { return target == ErrInvalid }

// Err returns the list as an error, or nil when it is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].File != f[j].File {
			return f[i].File < f[j].File
		}
		return f[i].Line < f[j].Line
	})
	return f
}

// Source is a file that can tell the line of a key. It is parsed for that only
// when a fault is found: the parsed form takes some seventy times the memory of
// the text.
type Source struct {
	File string
	body []byte
}

// Line returns the line of the value at a path such as servers[3].slots, or of
// its nearest parent that is in the file.
func (s Source) Line(key string) int {
	for key != "" {
		if n := s.find(key); n != nil {
			return n.GetToken().Position.Line
		}
		key = parent(key)
	}
	return 1
}

// Fault makes a fault about a key of this file.
func (s Source) Fault(key, problem, hint string) Fault {
	return Fault{File: s.File, Line: s.Line(key), Key: key, Problem: problem, Hint: hint}
}

func (s Source) find(key string) ast.Node {
	tree, err := parser.ParseBytes(s.body, 0)
	if err != nil {
		return nil
	}
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return nil
	}
	n, err := path.FilterFile(tree)
	if err != nil {
		return nil
	}
	return n
}

func parent(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}

// Decode reads a YAML body into a pointer to a struct with yaml and validate
// tags. It returns the source for further checks, and Faults when anything is
// wrong.
func Decode(file string, body []byte, into any) (Source, error) {
	src := Source{File: file, body: body}
	tree, err := parser.ParseBytes(body, 0)
	if err != nil {
		return src, Faults{fromYAML(file, err)}
	}
	var faults Faults
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			faults = append(faults, unknownKeys(file, "", doc.Body, reflect.TypeOf(into).Elem())...)
		}
	}
	if err := yaml.Unmarshal(body, into); err != nil {
		return src, append(faults, fromYAML(file, err)).Err()
	}
	return src, append(faults, check(src, into)...).Err()
}

// fromYAML keeps the position that the YAML library found.
func fromYAML(file string, err error) Fault {
	f := Fault{File: file, Line: 1, Problem: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		f.Problem = y.GetMessage()
		if t := y.GetToken(); t != nil {
			f.Line = t.Position.Line
		}
	}
	return f
}

// unknownKeys walks the tree beside the type. The library's own strict mode
// stops at the first unknown key; an operator wants to see them all.
func unknownKeys(file, at string, n ast.Node, t reflect.Type) Faults {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var faults Faults
	switch n := n.(type) {
	case *ast.SequenceNode:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i, item := range n.Values {
			faults = append(faults, unknownKeys(file, fmt.Sprintf("%s[%d]", at, i), item, t.Elem())...)
		}
	case *ast.MappingNode:
		if t.Kind() != reflect.Struct {
			return nil
		}
		known := keys(t)
		for _, pair := range n.Values {
			key := pair.Key.String()
			path := strings.TrimPrefix(at+"."+key, ".")
			field, ok := known[key]
			if !ok {
				faults = append(faults, Fault{
					File: file, Line: pair.Key.GetToken().Position.Line, Key: path,
					Problem: "unknown key", Hint: "known here: " + names(known),
				})
				continue
			}
			faults = append(faults, unknownKeys(file, path, pair.Value, field)...)
		}
	}
	return faults
}

func keys(t reflect.Type) map[string]reflect.Type {
	known := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		if name := yamlName(f); name != "" {
			known[name] = f.Type
		}
	}
	return known
}

func names(known map[string]reflect.Type) string {
	list := make([]string, 0, len(known))
	for k := range known {
		list = append(list, k)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

var rules = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}()

// check runs the validate tags and maps each failure to its key and line.
func check(src Source, v any) Faults {
	err := rules.Struct(v)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return nil
	}
	faults := make(Faults, 0, len(list))
	for _, e := range list {
		_, key, _ := strings.Cut(e.Namespace(), ".")
		faults = append(faults, src.Fault(key, problem(e), ""))
	}
	return faults
}

func problem(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "missing"
	case "hostname_port":
		return fmt.Sprintf("%q is not an IP and port", e.Value())
	case "oneof":
		return fmt.Sprintf("%v is not one of %s", e.Value(), e.Param())
	case "gt", "gte", "lt", "lte", "min", "max":
		return fmt.Sprintf("%v is out of range: must be %s %s", e.Value(), comparison(e.Tag()), e.Param())
	}
	return fmt.Sprintf("%v fails the check %s %s", e.Value(), e.Tag(), e.Param())
}

func comparison(tag string) string {
	switch tag {
	case "gt":
		return "above"
	case "gte", "min":
		return "at least"
	case "lt":
		return "below"
	}
	return "at most"
}

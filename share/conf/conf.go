// Package conf reads YAML files strictly: it reports every fault with its file,
// line and key, and rejects a file that has any fault.
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

// ErrInvalid marks every error in the contents of a file.
var ErrInvalid = errors.New("invalid file")

// Fault is one error in a file.
type Fault struct {
	File string
	// Line counts from 1; a fault of the whole file has line 1.
	Line int
	// Key is the path of the faulty key, such as servers[3].slots.
	Key     string
	Problem string
	// Hint says how to fix the fault; it may be empty.
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

// Faults is a list of faults that implements error. It matches ErrInvalid in errors.Is.
type Faults []Fault //nolint:errname // a list of faults, not a single error

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether the target is ErrInvalid.
func (f Faults) Is(target error) bool { return target == ErrInvalid }

// Err returns the list as an error, or nil if it is empty. It sorts the list by file and
// line.
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

// Source is a file in which the lines of keys can be looked up. It keeps the text and
// parses it for a lookup, which only a fault needs: the parsed form takes about 70
// times the memory of the text.
type Source struct {
	File string
	body []byte
}

// Line returns the line of the value at a path such as servers[3].slots, or of its
// nearest parent that is in the file; 1 if there is none.
func (s Source) Line(key string) int {
	for key != "" {
		if n := s.findNode(key); n != nil {
			return n.GetToken().Position.Line
		}
		key = parentKey(key)
	}
	return 1
}

// Fault returns a fault for a key of this file.
func (s Source) Fault(key, problem, hint string) Fault {
	return Fault{File: s.File, Line: s.Line(key), Key: key, Problem: problem, Hint: hint}
}

// findNode returns the node at a path, or nil if the file has none or cannot be parsed.
func (s Source) findNode(key string) ast.Node {
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

// parentKey returns the path without its last key or index, and "" for a top-level key.
func parentKey(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}

// Decode reads a YAML body into a pointer to a struct with yaml and validate
// tags. It returns the source for further checks, and Faults if the file is
// invalid.
func Decode(file string, body []byte, target any) (Source, error) {
	src := Source{File: file, body: body}
	if err := checkDepth(file, body); err != nil {
		return src, err
	}
	tree, err := parser.ParseBytes(body, 0)
	if err != nil {
		return src, Faults{yamlFault(file, err)}
	}
	var faults Faults
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			faults = append(faults, unknownKeys(file, "", doc.Body, reflect.TypeOf(target).Elem())...)
		}
	}
	if err := yaml.Unmarshal(body, target); err != nil {
		return src, append(faults, yamlFault(file, err)).Err()
	}
	return src, append(faults, validateStruct(src, target)...).Err()
}

// yamlFault returns a fault with the position that the YAML library reports.
func yamlFault(file string, err error) Fault {
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

// unknownKeys returns a fault for each key of a node that is no field of a type. The
// library's own strict mode stops at the first unknown key, and operators need all of them.
func unknownKeys(file, parentPath string, n ast.Node, t reflect.Type) Faults {
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
			faults = append(faults, unknownKeys(file, fmt.Sprintf("%s[%d]", parentPath, i), item, t.Elem())...)
		}
	case *ast.MappingNode:
		if t.Kind() != reflect.Struct {
			return nil
		}
		known := yamlKeys(t)
		for _, pair := range n.Values {
			key := pair.Key.String()
			path := strings.TrimPrefix(parentPath+"."+key, ".")
			field, ok := known[key]
			if !ok {
				faults = append(faults, Fault{
					File: file, Line: pair.Key.GetToken().Position.Line, Key: path,
					Problem: "unknown key", Hint: "known here: " + joinKeys(known),
				})
				continue
			}
			faults = append(faults, unknownKeys(file, path, pair.Value, field)...)
		}
	}
	return faults
}

// yamlKeys returns the types of a struct's fields by their keys in the file.
func yamlKeys(t reflect.Type) map[string]reflect.Type {
	known := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		if name := yamlName(f); name != "" {
			known[name] = f.Type
		}
	}
	return known
}

// joinKeys returns the keys as text, in alphabetical order.
func joinKeys(known map[string]reflect.Type) string {
	list := make([]string, 0, len(known))
	for k := range known {
		list = append(list, k)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

// yamlName returns the key of a field in the file, or "" if the field is not in the file.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// validate checks structs. Its errors name fields by their keys in the file.
var validate = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}()

// validateStruct checks the validate tags and maps each failure to its key and line. It
// returns nil if all values pass.
func validateStruct(src Source, v any) Faults {
	err := validate.Struct(v)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return nil
	}
	faults := make(Faults, 0, len(list))
	for _, e := range list {
		_, key, _ := strings.Cut(e.Namespace(), ".") // without the name of the struct type
		faults = append(faults, src.Fault(key, describe(e), ""))
	}
	return faults
}

// describe returns the problem of a value that fails a validate tag.
func describe(e validator.FieldError) string {
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

// comparison returns the words for a validate tag that compares.
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

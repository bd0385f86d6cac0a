// Package docs_test holds the tests which check that the documentation matches the code.
package docs_test

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const repositoryRoot = ".."

// logLine is one kind of log line: its level and its constant message.
type logLine struct{ level, message string }

func (l logLine) String() string { return l.level + " " + strconv.Quote(l.message) }

// documentedLevels are the levels whose lines must be listed in the documentation. Debug
// lines are for developers only.
var documentedLevels = []string{"info", "warn", "error", "fatal", "panic"}

// The operators' table must list every message that the program logs at info or above,
// with its level, and no other messages.
func TestOperationsTableMatchesLogLines(t *testing.T) {
	table := make(map[logLine]bool)
	for _, row := range tableRows(t, "operations.md", "## Log lines") {
		for _, level := range strings.Split(row[0], ", ") {
			for _, message := range codeSpans(row[1]) {
				table[logLine{level, message}] = true
			}
		}
	}
	compare(t, "docs/operations.md", table, loggedLines(t))
}

// The architecture page must name, for each log message, the packages that log it.
func TestArchitectureTableMatchesLogLines(t *testing.T) {
	inCode := make(map[string]bool)
	for line, packages := range loggedLines(t) {
		for name := range packages {
			inCode[line.message+" in "+name] = true
		}
	}
	inTable := make(map[string]bool)
	for _, row := range tableRows(t, "architecture.md", "## From a log line to its rule") {
		for _, message := range codeSpans(row[0]) {
			for _, name := range codeSpans(row[1]) {
				inTable[message+" in "+name] = true
			}
		}
	}
	compare(t, "docs/architecture.md", inTable, inCode)
}

// compare fails the test for every key that is in only one of the two maps.
func compare[K comparable, A, B any](t *testing.T, page string, table map[K]A, code map[K]B) {
	t.Helper()
	if len(table) == 0 || len(code) == 0 {
		t.Fatalf("%s lists %d log lines and the code has %d, want at least one each", page, len(table), len(code))
	}
	for line := range code {
		if _, ok := table[line]; !ok {
			t.Errorf("the code logs %v, but %s does not list it", line, page)
		}
	}
	for line := range table {
		if _, ok := code[line]; !ok {
			t.Errorf("%s lists %v, but the code does not log it", page, line)
		}
	}
}

var codeSpan = regexp.MustCompile("`([^`]*)`")

// codeSpans returns the texts between backticks.
func codeSpans(cell string) []string {
	var spans []string
	for _, match := range codeSpan.FindAllStringSubmatch(cell, -1) {
		spans = append(spans, match[1])
	}
	return spans
}

// tableRows returns the rows of the first table below a heading, as cells, without the header.
func tableRows(t *testing.T, page, heading string) [][]string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), heading+"\n")
	if !found {
		t.Fatalf("%s has no heading %q", page, heading)
	}
	var rows [][]string
	for line := range strings.Lines(section) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			if len(rows) > 0 {
				break
			}
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, cells)
	}
	if len(rows) < 3 {
		t.Fatalf("%s has no table below %q", page, heading)
	}
	return rows[2:]
}

// loggedLines returns the lines that the program logs at a documented level, each with
// the directories of the packages that log it.
func loggedLines(t *testing.T) map[logLine]map[string]bool {
	t.Helper()
	lines := make(map[logLine]map[string]bool)
	for _, line := range parseSources(t).logCalls(t) {
		if slices.Contains(documentedLevels, line.level) {
			if lines[line.logLine] == nil {
				lines[line.logLine] = make(map[string]bool)
			}
			lines[line.logLine][line.packageDir] = true
		}
	}
	return lines
}

// sources holds the program's parsed files, except tests. Directories are relative to
// the root of the repository.
type sources struct {
	files  *token.FileSet
	byDir  map[string][]*ast.File
	consts map[string]string // values of string constants by "dir.Name"

	tracing map[string]bool // parameters and fields whose values trace is looking for
}

func parseSources(t *testing.T) *sources {
	t.Helper()
	s := &sources{files: token.NewFileSet(), byDir: make(map[string][]*ast.File), consts: make(map[string]string), tracing: make(map[string]bool)}
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(s.files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			dir, err := filepath.Rel(repositoryRoot, filepath.Dir(path))
			if err != nil {
				return err
			}
			dir = filepath.ToSlash(dir)
			s.byDir[dir] = append(s.byDir[dir], file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for dir, files := range s.byDir {
		for _, file := range files {
			s.addConstants(dir, file)
		}
	}
	return s
}

// addConstants records the string constants that a file declares at package level.
func (s *sources) addConstants(dir string, file *ast.File) {
	for _, declaration := range file.Decls {
		group, ok := declaration.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			value := spec.(*ast.ValueSpec)
			for i, name := range value.Names {
				if i < len(value.Values) {
					if text, ok := stringLiteral(value.Values[i]); ok {
						s.consts[dir+"."+name.Name] = text
					}
				}
			}
		}
	}
}

func stringLiteral(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// loggedCall is a log line with the package that writes it.
type loggedCall struct {
	logLine
	packageDir string
}

// scope is a function with the directory and the file that declare it.
type scope struct {
	dir      string
	file     *ast.File
	function *ast.FuncDecl
}

// functions calls visit with each function and method of the program.
func (s *sources) functions(visit func(in scope)) {
	for _, dir := range slices.Sorted(maps.Keys(s.byDir)) {
		for _, file := range s.byDir[dir] {
			for _, declaration := range file.Decls {
				if function, ok := declaration.(*ast.FuncDecl); ok && function.Body != nil {
					visit(scope{dir, file, function})
				}
			}
		}
	}
}

// calls calls visit with each call in a function and in its closures.
func calls(in scope, visit func(call *ast.CallExpr)) {
	ast.Inspect(in.function.Body, func(n ast.Node) bool {
		if call, ok := n.(*ast.CallExpr); ok {
			visit(call)
		}
		return true
	})
}

// logCalls returns every line that is written through a zerolog event. It fails
// the test for a line whose level or message can't be determined, so that none is missed.
func (s *sources) logCalls(t *testing.T) []loggedCall {
	t.Helper()
	var found []loggedCall
	s.functions(func(in scope) {
		calls(in, func(call *ast.CallExpr) {
			method, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || !slices.Contains([]string{"Msg", "Msgf", "MsgFunc", "Send"}, method.Sel.Name) {
				return
			}
			if method.Sel.Name == "Send" && len(call.Args) > 0 {
				return // not the Send of an event, which has no parameters
			}
			levels := s.eventLevels(in, method.X)
			if len(levels) == 0 {
				if method.Sel.Name != "Send" {
					t.Errorf("%s: the level of this log line can't be determined", s.files.Position(call.Pos()))
				}
				return
			}
			if method.Sel.Name != "Msg" {
				t.Errorf("%s: a log line must pass a constant message to Msg", s.files.Position(call.Pos()))
				return
			}
			messages, err := s.constantTexts(in, call.Args[0])
			if err != nil {
				t.Errorf("%s: %v", s.files.Position(call.Pos()), err)
			}
			for _, level := range levels {
				for _, message := range messages {
					found = append(found, loggedCall{logLine{level, message.text}, message.dir})
				}
			}
		})
	})
	return found
}

var levelMethods = map[string]string{
	"Trace": "trace", "Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error", "Fatal": "fatal", "Panic": "panic",
}

// levelsOf returns the levels of a call that begins an event, as in log.Info() or
// log.WithLevel(reason.level()).
func (s *sources) levelsOf(in scope, call *ast.CallExpr) []string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	switch {
	case !ok:
		return nil
	case method.Sel.Name == "WithLevel" && len(call.Args) == 1:
		return s.namedLevels(in, call.Args[0])
	case len(call.Args) == 0 && levelMethods[method.Sel.Name] != "":
		return []string{levelMethods[method.Sel.Name]}
	}
	return nil
}

// namedLevels returns the zerolog levels that an expression names. If the expression is a
// call, it returns the levels named in the functions of the package that may be called.
func (s *sources) namedLevels(in scope, e ast.Expr) []string {
	if call, ok := e.(*ast.CallExpr); ok {
		var levels []string
		s.functions(func(callee scope) {
			if callee.dir == in.dir && isCallOf(in, call, callee) {
				levels = append(levels, levelConstants(callee.function.Body)...)
			}
		})
		return unique(levels)
	}
	return unique(levelConstants(e))
}

// levelConstants returns the levels whose zerolog constants, such as zerolog.InfoLevel,
// occur in a node of the syntax tree.
func levelConstants(n ast.Node) []string {
	var levels []string
	ast.Inspect(n, func(n ast.Node) bool {
		if selector, ok := n.(*ast.SelectorExpr); ok {
			name, isLevel := strings.CutSuffix(selector.Sel.Name, "Level")
			if level := levelMethods[name]; isLevel && level != "" {
				levels = append(levels, level)
			}
		}
		return true
	})
	return levels
}

func unique(texts []string) []string {
	slices.Sort(texts)
	return slices.Compact(texts)
}

// eventLevels returns the levels that an event may have: those of the call that begins
// its chain, or of the events that are assigned to its variable.
func (s *sources) eventLevels(in scope, event ast.Expr) []string {
	switch e := event.(type) {
	case *ast.CallExpr:
		if levels := s.levelsOf(in, e); levels != nil {
			return levels
		}
		if method, ok := e.Fun.(*ast.SelectorExpr); ok {
			return s.eventLevels(in, method.X)
		}
	case *ast.Ident:
		return s.assignedLevels(in, e.Name)
	}
	return nil
}

// assignedLevels returns the levels of the events that a function assigns to a variable.
func (s *sources) assignedLevels(in scope, variable string) []string {
	var levels []string
	ast.Inspect(in.function.Body, func(n ast.Node) bool {
		assignment, ok := n.(*ast.AssignStmt)
		if !ok {
			return true
		}
		for i, target := range assignment.Lhs {
			name, ok := target.(*ast.Ident)
			if !ok || name.Name != variable || i >= len(assignment.Rhs) {
				continue
			}
			if value, ok := assignment.Rhs[i].(*ast.CallExpr); ok {
				levels = append(levels, s.eventLevels(in, value)...)
			}
		}
		return true
	})
	return unique(levels)
}

// constantText is a text and the directory of the package that supplies it.
type constantText struct{ text, dir string }

// constantTexts returns the possible values of an expression that is a literal, a
// constant, a parameter (the arguments of all callers) or a field (the values set in
// composite literals).
func (s *sources) constantTexts(in scope, e ast.Expr) ([]constantText, error) {
	if text, ok := stringLiteral(e); ok {
		return []constantText{{text, in.dir}}, nil
	}
	switch e := e.(type) {
	case *ast.Ident:
		if text, ok := s.consts[in.dir+"."+e.Name]; ok {
			return []constantText{{text, in.dir}}, nil
		}
		if position := parameterPosition(in.function, e.Name); position >= 0 {
			return s.trace(fmt.Sprintf("parameter %s of %s.%s", e.Name, in.dir, in.function.Name.Name), func() ([]constantText, error) {
				return s.argumentTexts(in, position)
			})
		}
	case *ast.SelectorExpr:
		if base, ok := e.X.(*ast.Ident); ok {
			if text, ok := s.consts[importedDir(in.file, base.Name)+"."+e.Sel.Name]; ok {
				return []constantText{{text, in.dir}}, nil
			}
		}
		return s.trace(fmt.Sprintf("field %s in %s", e.Sel.Name, in.dir), func() ([]constantText, error) {
			return s.fieldTexts(in.dir, e.Sel.Name)
		})
	}
	return nil, errors.New("the message is neither a constant, nor a parameter or field that is set to one")
}

// trace calls find to look for the values of a parameter or field. It returns an error if
// it is already looking for them: one that is set to itself has no constant text.
func (s *sources) trace(what string, find func() ([]constantText, error)) ([]constantText, error) {
	if s.tracing[what] {
		return nil, fmt.Errorf("%s is not a constant", what)
	}
	s.tracing[what] = true
	defer delete(s.tracing, what)
	return find()
}

// parameterPosition returns the index of a function's parameter, or -1.
func parameterPosition(function *ast.FuncDecl, name string) int {
	position := 0
	for _, field := range function.Type.Params.List {
		for _, parameter := range field.Names {
			if parameter.Name == name {
				return position
			}
			position++
		}
	}
	return -1
}

// argumentTexts returns the texts that the callers of a function pass for a parameter.
func (s *sources) argumentTexts(callee scope, position int) ([]constantText, error) {
	var texts []constantText
	var failure error
	s.functions(func(in scope) {
		calls(in, func(call *ast.CallExpr) {
			if failure != nil || !isCallOf(in, call, callee) {
				return
			}
			given, err := s.constantTexts(in, call.Args[position])
			if err != nil {
				failure = fmt.Errorf("%s: %w", s.files.Position(call.Pos()), err)
			}
			texts = append(texts, given...)
		})
	})
	if failure == nil && len(texts) == 0 {
		failure = fmt.Errorf("%s logs one of its parameters, but has no callers", callee.function.Name.Name)
	}
	return texts, failure
}

// isCallOf reports whether a call may be a call of the given function: by its plain name
// in its own package, by the package's name elsewhere, and for a method on any receiver.
func isCallOf(in scope, call *ast.CallExpr, callee scope) bool {
	name := callee.function.Name.Name
	switch target := call.Fun.(type) {
	case *ast.Ident:
		return callee.function.Recv == nil && in.dir == callee.dir && target.Name == name
	case *ast.SelectorExpr:
		if target.Sel.Name != name {
			return false
		}
		if callee.function.Recv != nil { // the receiver's type is not known, so only the arguments are compared
			return len(call.Args) == callee.function.Type.Params.NumFields()
		}
		base, ok := target.X.(*ast.Ident)
		return ok && importedDir(in.file, base.Name) == callee.dir
	}
	return false
}

// importedDir returns the directory, relative to the root of the repository, of the
// package that a file imports under a name, or "".
func importedDir(file *ast.File, name string) string {
	const module = "github.com/cobaltvale/cobaltvale/"
	for _, imported := range file.Imports {
		path, err := strconv.Unquote(imported.Path.Value)
		if err != nil {
			continue
		}
		known := path[strings.LastIndex(path, "/")+1:]
		if imported.Name != nil {
			known = imported.Name.Name
		}
		if known == name {
			return strings.TrimPrefix(path, module)
		}
	}
	return ""
}

// fieldTexts returns the texts to which a package's composite literals set a field.
func (s *sources) fieldTexts(dir, field string) ([]constantText, error) {
	var texts []constantText
	var failure error
	s.functions(func(in scope) {
		if in.dir != dir {
			return
		}
		ast.Inspect(in.function.Body, func(n ast.Node) bool {
			pair, ok := n.(*ast.KeyValueExpr)
			if !ok || failure != nil {
				return failure == nil
			}
			if key, ok := pair.Key.(*ast.Ident); ok && key.Name == field {
				given, err := s.constantTexts(in, pair.Value)
				failure = err
				texts = append(texts, given...)
			}
			return true
		})
	})
	if failure == nil && len(texts) == 0 {
		failure = fmt.Errorf("field %s is not set in any composite literal in %s", field, dir)
	}
	return texts, failure
}

// Command gendoc writes docs/settings.md from the comments of the settings fields.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const header = `# Settings

Static settings of a process, in strict JSON. Durations are strings with a unit, such as "500ms". This page is made from the comments in ` + "`internal/settings/settings.go`" + ` by ` + "`go run ./internal/settings/gendoc internal/settings/settings.go > docs/settings.md`" + `.
`

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "gendoc:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) != 1 {
		return errors.New("expected one argument: the file that declares the settings types")
	}
	file, err := parser.ParseFile(token.NewFileSet(), args[0], nil, parser.ParseComments)
	if err != nil {
		return errors.Wrap(err, "parse the settings types")
	}
	if _, err := fmt.Fprint(out, header); err != nil {
		return errors.WithStack(err)
	}
	for _, declaration := range file.Decls {
		if err := writeType(out, declaration); err != nil {
			return err
		}
	}
	return nil
}

// writeType writes one table if the declaration is a struct type.
func writeType(out io.Writer, declaration ast.Decl) error {
	types, ok := declaration.(*ast.GenDecl)
	if !ok || types.Tok != token.TYPE {
		return nil
	}
	spec := types.Specs[0].(*ast.TypeSpec)
	fields, ok := spec.Type.(*ast.StructType)
	if !ok {
		return nil
	}
	fmt.Fprintf(out, "\n## %s\n\n%s\n\n| field | type | meaning |\n|---|---|---|\n", spec.Name.Name, oneLine(types.Doc))
	for _, field := range fields.Fields.List {
		if _, err := fmt.Fprintf(out, "| %s | %s | %s |\n", fieldName(field), typeName(field.Type), fieldDoc(field)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func oneLine(doc *ast.CommentGroup) string {
	return strings.Join(strings.Fields(doc.Text()), " ")
}

func fieldName(field *ast.Field) string {
	if field.Tag == nil {
		return "(all fields of " + typeName(field.Type) + ")"
	}
	tag, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return field.Names[0].Name
	}
	name := strings.TrimSuffix(strings.TrimPrefix(tag, `json:"`), `"`)
	name, _, _ = strings.Cut(name, ",")
	return "`" + name + "`"
}

func fieldDoc(field *ast.Field) string {
	if field.Doc == nil {
		return "See " + typeName(field.Type) + "."
	}
	return oneLine(field.Doc)
}

func typeName(expression ast.Expr) string {
	switch t := expression.(type) {
	case *ast.Ident:
		return t.Name
	case *ast.StarExpr:
		return typeName(t.X)
	case *ast.ArrayType:
		return "list of " + typeName(t.Elt)
	default:
		return "object"
	}
}

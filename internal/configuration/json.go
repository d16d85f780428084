package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// maxDocumentBytes bounds the JSON form of a document or change.
const maxDocumentBytes = 64 << 20

// ParseDocument decodes the JSON form of a document and returns it in canonical order. It checks names
// and types of fields but does not validate values; see ValidateDocument. The error is a *Rejection.
func ParseDocument(data []byte) (*configpb.Document, error) {
	var form documentForm
	if rejection := decodeStrict(data, &form); rejection != nil {
		return nil, rejection
	}
	d, rejection := form.proto()
	if rejection != nil {
		return nil, rejection
	}
	return Canonical(d), nil
}

// FormatDocument returns the indented JSON form of a document.
func FormatDocument(d *configpb.Document) ([]byte, error) {
	data, err := json.MarshalIndent(documentFormOf(d), "", "  ")
	return data, errors.Wrap(err, "format the document; report this as a defect")
}

// ParseChange decodes the JSON form of a change: an object with one member, such as
// {"put_team": {…}} or {"delete_route": "id"}. The error is a *Rejection.
func ParseChange(data []byte) (*configpb.Change, error) {
	var form changeForm
	if rejection := decodeStrict(data, &form); rejection != nil {
		return nil, rejection
	}
	c, rejection := form.proto()
	if rejection != nil {
		return nil, rejection
	}
	return c, nil
}

// FormatChange returns the JSON form of a change.
func FormatChange(c *configpb.Change) ([]byte, error) {
	data, err := json.Marshal(changeFormOf(c))
	return data, errors.Wrap(err, "format the change; report this as a defect")
}

func decodeStrict(data []byte, into any) *Rejection {
	if len(data) > maxDocumentBytes {
		return reject("", "check that it is the right file", "the input is larger than 64 MiB")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeRejection(err, data)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return reject("", "remove what follows the closing brace", "the input has content after the object")
	}
	return nil
}

func decodeRejection(err error, data []byte) *Rejection {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		return reject("", "correct the syntax there", "invalid JSON on line %d: %v", line, syntax)
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return reject(typeErr.Field, "change the value's type", "a %s stands where a %s belongs", typeErr.Value, typeErr.Type)
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return reject(strings.Trim(field, `"`), "remove it or correct its spelling", "unknown field")
	}
	return reject("", "correct the value", "%v", err)
}

// fromForms converts the items of one section. A rejection contains the index of the invalid item.
func fromForms[F, P any](section string, forms []F, convert func(F, string) (P, *Rejection)) ([]P, *Rejection) {
	var items []P
	for i, form := range forms {
		item, rejection := convert(form, fmt.Sprintf("%s[%d]", section, i))
		if rejection != nil {
			return nil, rejection
		}
		items = append(items, item)
	}
	return items, nil
}

func toForms[P, F any](items []P, convert func(P) F) []F {
	forms := make([]F, 0, len(items))
	for _, item := range items {
		forms = append(forms, convert(item))
	}
	return forms
}

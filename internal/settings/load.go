package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// maxFileBytes is the largest accepted size of the settings file.
const maxFileBytes = 1 << 20

// Error is one mistake in the settings. Its message names the field and the remedy.
type Error struct {
	// Field is the path of the invalid field, such as "entry.address"; it is empty for the whole file.
	Field  string
	Reason string
	Remedy string
}

// Error returns field, reason and remedy in one line.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s; %s", e.Reason, e.Remedy)
	}
	return fmt.Sprintf("%s: %s; %s", e.Field, e.Reason, e.Remedy)
}

// Errors lists every mistake found in one validation.
type Errors []*Error

// Error returns the messages, one per line.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, entry := range e {
		lines = append(lines, entry.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates the file. The error is an Errors if the content is invalid.
func Load(path string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open the settings file; check its path")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the settings file")
	}
	return Parse(data)
}

// Parse reads and validates settings. The error is an Errors.
func Parse(data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, Errors{{Reason: "the file is larger than 1 MiB", Remedy: "check that it is the settings file"}}
	}
	s := &Settings{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, Errors{decodeError(err, data)}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, Errors{{Reason: "the file has content after the settings object", Remedy: "remove what follows the closing brace"}}
	}
	return Complete(s)
}

// Complete fills in the defaults and validates settings that come from another source than a file in
// the format of this package, such as a platform's own file. The error is an Errors.
func Complete(s *Settings) (*Settings, error) {
	s.setDefaults()
	if errs := s.validate(); len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

// decodeError returns the settings error for a failed decoding of the data.
func decodeError(err error, data []byte) *Error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		return &Error{Reason: fmt.Sprintf("invalid JSON on line %d: %v", line, syntax), Remedy: "correct the syntax there"}
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &Error{Field: typeErr.Field, Reason: "a " + typeErr.Value + " stands where a " + typeErr.Type.String() + " belongs", Remedy: "change the value's type"}
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &Error{Field: strings.Trim(field, `"`), Reason: "unknown field", Remedy: "remove it or correct its spelling"}
	}
	return &Error{Reason: err.Error(), Remedy: "correct the value"}
}
